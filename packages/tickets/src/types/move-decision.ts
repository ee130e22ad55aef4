/** Decision that ends a move: the rollout is completed or rolled back. */
export interface MoveDecision {
  readonly word: 'done' | 'undone';
  readonly reason: string;
  /** Node that wrote the decision, or `ticket N` when a later ticket superseded the move. */
  readonly by: string;
  readonly position: number;
  /** Log timestamp in milliseconds since the Unix epoch. */
  readonly at: number;
}
