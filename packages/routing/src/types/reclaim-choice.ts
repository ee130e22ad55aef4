import type { ReclaimAction } from './reclaim-action.ts';
import type { RunnerView } from './runner-view.ts';

/** How one request is finished after a reclaim notice. */
export interface ReclaimChoice {
  readonly action: ReclaimAction;
  /** Runner that takes over the request; absent for `finish`. */
  readonly target?: RunnerView;
  /** Expected interruption of the stream in milliseconds. */
  readonly interruptionMs: number;
  /** Tokens expected to be recomputed. */
  readonly recomputedTokens: number;
}
