/** Final word of a move, written to the log; the first by offset stands. */
export interface MoveWord {
  readonly moveId: string;
  readonly word: 'done' | 'undone';
  readonly reason: string;
}
