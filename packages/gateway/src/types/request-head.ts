/** Head of a request as it stands on the wire. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Names and values of the headers, in turn. */
  readonly rawHeaders: readonly string[];
}
