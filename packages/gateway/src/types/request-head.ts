/** Request line and headers as received. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Headers as alternating names and values. */
  readonly rawHeaders: readonly string[];
}
