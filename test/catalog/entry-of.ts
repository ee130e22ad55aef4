import type { RunnerEntry } from '@ragwortrudder/catalog';

/** An entry of a runner in the list, with some fields replaced. */
export function entryOf(change: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id: 'r',
    service: 's',
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldMs: 0,
    bornMs: 1_000_000,
    isSpot: false,
    ...change,
  };
}
