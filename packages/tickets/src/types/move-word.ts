/** Final word of a move. */
export interface MoveWord {
  readonly word: 'done' | 'undone';
  readonly reason: string;
  /** Node that wrote the word, or `ticket N` when a later ticket superseded the move. */
  readonly by: string;
  readonly position: number;
  /** Log time in milliseconds since the Unix epoch. */
  readonly at: number;
}
