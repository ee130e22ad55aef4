/** Bytes of a message that never ends: how it begins, and what is repeated. */
export interface EndlessBytes {
  readonly head: string;
  readonly block: Buffer;
}
