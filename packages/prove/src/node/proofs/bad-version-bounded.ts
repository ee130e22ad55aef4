import type { EngineFault } from '@ragwortrudder/standins';
import type { Proof } from '../../types/proof.ts';
import { proofFleet } from '../../utils/proof-fleet.ts';
import { TENANTS } from '../../utils/tenants.ts';
import type { ProofEnvironment } from '../proof-environment.ts';
import { runWorkload } from '../workload.ts';

const DURATION_MS = 25_000;
const TAKEOVER_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

const BAD_VERSION_FAULTS: readonly [EngineFault, ...EngineFault[]] = [
  { failRate: 1 },
  { failRate: 0.5 },
  { slowFactor: 10 },
  { failRate: 1, condition: { afterRequests: 12 } },
];

/** Rolls a service out to a bad version, whose fault is drawn at random from the seed. */
export const badVersionBounded: Proof = {
  promise: 2,
  name: 'bad-version-bounded',
  checkers: ['bad-version-bounded', 'accepted-survives', 'whole-answer-once'],
  bounds: { badVersionStopMs: 3000, badVersionShare: 0.1, badVersionRuns: 40 },
  fleet: proofFleet({
    runners: [
      { service: 'quotes', version: 'v1', kind: 'model', count: 3 },
      { service: 'quotes', version: 'v2', kind: 'model', count: 3 },
    ],
  }),
  async run(environment) {
    await breakNewVersion(environment);
    await Promise.all([
      runWorkload({
        environment,
        tenants: TENANTS,
        pauseMs: 25,
        durationMs: DURATION_MS,
        mix: { quotes: 1, stock: 0, orders: 0 },
        maxTokens: 5,
      }),
      rollOut(environment),
    ]);
  },
};

async function breakNewVersion(environment: ProofEnvironment): Promise<void> {
  const fault = environment.pick(BAD_VERSION_FAULTS);
  environment.fault(`bad-version ${JSON.stringify(fault)}`, 'quotes v2');
  for (const { id, version } of environment.fleet.runners) {
    if (version === 'v2') await environment.fleet.engineFault(id, fault);
  }
}

async function rollOut(environment: ProofEnvironment): Promise<void> {
  await environment.pause(1500);
  const takeoverBy = Date.now() + TAKEOVER_TIMEOUT_MS;
  const quotes = environment.service('quotes', 'v2', { previous: 'v1', takeoverBy });
  await environment.submitTicket({ services: { quotes } });
  for (;;) {
    const decision = await readDecision(environment);
    if (decision !== undefined) {
      environment.record({ type: 'version', service: 'quotes', version: 'v2', state: decision });
      if (decision === 'undone')
        environment.record({
          type: 'version',
          service: 'quotes',
          version: 'v2',
          state: 'bad-shown',
        });
      return;
    }
    await environment.pause(POLL_MS);
    if (Date.now() > takeoverBy + 5000) return;
  }
}

interface DecisionBody {
  readonly kind?: string;
  readonly word?: 'done' | 'undone';
}

async function readDecision(environment: ProofEnvironment): Promise<'done' | 'undone' | undefined> {
  const records = await environment.fleet.log('tickets');
  const bodies = records.flatMap(
    ({ body }) =>
      (body as { readonly entries: readonly { readonly body: DecisionBody }[] }).entries,
  );
  return bodies.find(({ body }) => body.kind === 'move-word')?.body.word;
}
