import type { ReclaimAction } from './reclaim-action.ts';
import type { RunnerView } from './runner-view.ts';

/** Outcome of the choice made at a reclaim notice. */
export interface ReclaimChoice {
  readonly action: ReclaimAction;
  /** Runner that takes over; absent for `finish`. */
  readonly target?: RunnerView;
  /** Expected interruption of the stream in milliseconds. */
  readonly interruptionMs: number;
  /** Tokens expected to be computed again. */
  readonly recomputedTokens: number;
}
