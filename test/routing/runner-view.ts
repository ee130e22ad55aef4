import type { RunnerView } from '@ragwortrudder/routing';

/** Builds the view of a ready, idle runner. */
export function runnerView(id: string, fields: Partial<RunnerView> = {}): RunnerView {
  return {
    id,
    endpoint: `10.0.0.${id}:80`,
    failureDomain: 'a',
    service: 'quotes',
    version: 'v1',
    kind: 'model',
    state: 'ready',
    load: { running: 0, waiting: 0, leaving: false },
    loadAgeMs: 0,
    unreported: { requests: 0, prefillTokens: 0 },
    inFlight: { requests: 0, prefillTokens: 0 },
    prefillRate: 10_000,
    decodeStepMs: 20,
    serviceTimeMs: 20,
    networkMs: 1,
    leaving: false,
    setAside: false,
    ...fields,
  };
}
