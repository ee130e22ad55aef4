import type { RunnerEntry } from '@ragwortrudder/catalog';

/** Metadata that the gateway adds to a caller's request when it forwards it to a runner. */
export interface ForwardingMetadata {
  readonly runner: Pick<RunnerEntry, 'id' | 'address'>;
  /** Time left until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
  /** Team that owns the caller's API key; undefined on public routes. */
  readonly team: string | undefined;
  /** Scheduling priority at a model engine, from 0 (most urgent) to 9. */
  readonly priority: number | undefined;
  /** Id of the last event that the caller has received; the runner continues the stream after it. */
  readonly lastEventId: string | undefined;
}
