/** Decision that ends a move. It is written to the log; the one with the lowest offset is effective. */
export interface MoveDecision {
  readonly moveId: string;
  readonly word: 'done' | 'undone';
  readonly reason: string;
}
