/** Limits on the records retained for export to peers. */
export interface TailLimits {
  readonly records: number;
  /** Total size of the records' bodies in characters of JSON. */
  readonly bytes: number;
}
