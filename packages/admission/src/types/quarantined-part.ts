/** Prompt part for which requests are rejected. */
export interface QuarantinedPart {
  readonly part: string;
  /** Time since it was quarantined, in milliseconds. */
  readonly ageMs: number;
  /** Time after which a request with it may be tried again, in milliseconds. */
  readonly remainingMs: number;
}
