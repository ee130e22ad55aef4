import type { RecomputeCause } from '../types/recompute-cause.ts';

/** Counts recomputed tokens by cause. */
export class RecomputeCounts {
  readonly #tokens = new Map<RecomputeCause, number>();

  /** Adds tokens that were computed again. */
  add(cause: RecomputeCause, tokens: number): void {
    this.#tokens.set(cause, this.tokens(cause) + tokens);
  }

  /** Tokens computed again for `cause`. */
  tokens(cause: RecomputeCause): number {
    return this.#tokens.get(cause) ?? 0;
  }

  /** All causes seen so far with their tokens. */
  snapshot(): ReadonlyMap<RecomputeCause, number> {
    return new Map(this.#tokens);
  }
}
