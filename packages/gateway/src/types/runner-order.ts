import type { RunnerEntry } from '@ragwortrudder/catalog';

/** What is added to a caller's request on its way to a runner. */
export interface RunnerOrder {
  readonly runner: RunnerEntry;
  /** Time that is left for the request, in milliseconds. */
  readonly remainingMs: number;
  /** Team that holds the caller's key; absent on public routes. */
  readonly team: string | undefined;
  /** Rank at a model engine, from 0 (first) to 9. */
  readonly priority: number | undefined;
  /** Last event that the caller has; a stream goes on after it. */
  readonly lastEventId: string | undefined;
}
