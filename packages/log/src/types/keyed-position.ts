/** Offset of a keyed topic, which is valid in one era of the log. */
export interface KeyedPosition {
  readonly offset: number;
  readonly era: number;
}
