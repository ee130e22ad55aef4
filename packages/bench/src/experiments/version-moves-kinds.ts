import type { ApplicationFault, EngineFault } from '@ragwortrudder/standins';

/** Requests to a runner of the new version after which a late fault starts, by traffic. */
const LATE_AFTER = { busy: 12, quiet: 5 };

interface VersionKind {
  readonly name: string;
  readonly kind: 'model' | 'application';
  readonly isGood: boolean;
  /** Returns the fault to inject into the runners of the new version. */
  readonly fault: (traffic: 'busy' | 'quiet') => EngineFault | ApplicationFault;
  /** Fraction of the affected requests that fail. */
  readonly failRate: number;
  /** Which requests are affected; all of them when omitted. */
  readonly affected?: 'late' | 'under load' | 'one route';
}

/** Word that marks the prompts of the class `batch`. */
const BATCH_MARKER = 'closing-of-the-month';

/** Good versions and every kind of bad version. */
export const versionKinds: readonly VersionKind[] = [
  { name: 'good', kind: 'model', isGood: true, fault: () => ({}), failRate: 0 },
  {
    ...{ name: 'fails', kind: 'model', isGood: false, failRate: 1 },
    fault: () => ({ failRate: 1 }),
  },
  {
    ...{ name: 'fails half', kind: 'model', isGood: false, failRate: 0.5 },
    fault: () => ({ failRate: 0.5 }),
  },
  {
    ...{ name: 'fails late', kind: 'model', isGood: false, failRate: 1, affected: 'late' },
    fault: (traffic) => ({ failRate: 1, condition: { afterRequests: LATE_AFTER[traffic] } }),
  },
  {
    ...{ name: 'fails under load', kind: 'model', isGood: false, failRate: 1 },
    affected: 'under load',
    fault: () => ({ failRate: 1, condition: { aboveRunning: 0 } }),
  },
  {
    ...{ name: 'fails on one route', kind: 'model', isGood: false, failRate: 1 },
    affected: 'one route',
    fault: () => ({ failRate: 1, condition: { marker: BATCH_MARKER } }),
  },
  {
    ...{ name: 'slow x3', kind: 'model', isGood: false, failRate: 0 },
    fault: () => ({ slowFactor: 3 }),
  },
  {
    ...{ name: 'slow x10', kind: 'model', isGood: false, failRate: 0 },
    fault: () => ({ slowFactor: 10 }),
  },
  {
    ...{ name: 'application, good', kind: 'application', isGood: true, failRate: 0 },
    fault: () => ({ mode: 'ok' }),
  },
  {
    ...{ name: 'application, fails half', kind: 'application', isGood: false, failRate: 0.5 },
    fault: () => ({ mode: 'fail', rate: 0.5 }),
  },
  {
    ...{ name: 'application, slow x10', kind: 'application', isGood: false, failRate: 0 },
    fault: () => ({ mode: 'slow', delayMs: 180 }),
  },
  {
    ...{ name: 'application, hangs', kind: 'application', isGood: false, failRate: 1 },
    fault: () => ({ mode: 'hang' }),
  },
];
