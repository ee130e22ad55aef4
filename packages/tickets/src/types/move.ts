import type { MoveWord } from './move-word.ts';

/** Takeover of a service by a new version. */
export interface Move {
  readonly service: string;
  readonly ticket: number;
  /** Version that serves when the move is undone. */
  readonly from: string;
  readonly to: string;
  /** Position of the ticket in the log. */
  readonly position: number;
  /** Log time of the ticket in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Time in milliseconds since the Unix epoch by which the move has to end; null when not stated. */
  readonly takeoverBy: number | null;
  /** Final word; null while the move is open. */
  readonly word: MoveWord | null;
}
