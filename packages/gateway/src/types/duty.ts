import type { DutyBoard } from '../node/duty-board.ts';

/** Duty that the holder of the term performs. */
export interface Duty {
  /** Called when this node has taken a term. */
  begin(board: DutyBoard): void;
  /** Called again and again while this node holds the term. */
  perform(board: DutyBoard): Promise<void>;
}
