/** The request was queued. */
export interface Queued {
  readonly state: 'queued';
  /** Estimated wait in milliseconds. */
  readonly waitMs: number;
}
