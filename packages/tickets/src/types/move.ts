import type { MoveDecision } from './move-decision.ts';

/** Rollout of a new version of a service. */
export interface Move {
  readonly service: string;
  readonly ticket: number;
  /** Version that the service returns to when the move is undone. */
  readonly from: string;
  readonly to: string;
  /** Position of the ticket in the log. */
  readonly position: number;
  /** Log timestamp of the ticket in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Deadline of the move in milliseconds since the Unix epoch; null when none was set. */
  readonly takeoverBy: number | null;
  /** Final decision; null while the move is in progress. */
  readonly word: MoveDecision | null;
}
