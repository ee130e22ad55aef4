/** Options of the fold of the stream `claims`. */
export interface ClaimOptions {
  /**
   * Retention of a key after its last effective entry, in milliseconds of log time.
   * @default 86_400_000
   */
  readonly retentionMs?: number;
}
