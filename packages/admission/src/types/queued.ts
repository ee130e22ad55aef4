/** A request that waits in the queue. */
export interface Queued {
  readonly state: 'queued';
  /** Estimated wait in milliseconds. */
  readonly waitMs: number;
}
