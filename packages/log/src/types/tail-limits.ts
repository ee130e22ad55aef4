/** Limits of the records kept for peers. */
export interface TailLimits {
  readonly records: number;
  /** Size of the records' bodies in characters of JSON. */
  readonly bytes: number;
}
