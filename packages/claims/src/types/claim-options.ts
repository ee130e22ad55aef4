/** Options of the fold of the stream `claims`. */
export interface ClaimOptions {
  /**
   * How long a key is remembered after its last effective entry, in milliseconds of log time.
   * @default 86_400_000
   */
  readonly retentionMs?: number;
}
