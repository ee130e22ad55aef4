import type { RecomputeCause } from '../types/recompute-cause.ts';

/** Counts recomputed tokens by cause. */
export class RecomputeCounts {
  readonly #tokens = new Map<RecomputeCause, number>();

  /** Adds recomputed tokens to the count of `cause`. */
  add(cause: RecomputeCause, tokens: number): void {
    this.#tokens.set(cause, this.tokens(cause) + tokens);
  }

  /** Tokens recomputed because of `cause`. */
  tokens(cause: RecomputeCause): number {
    return this.#tokens.get(cause) ?? 0;
  }

  /** Returns a copy of the counts of all causes recorded so far. */
  snapshot(): ReadonlyMap<RecomputeCause, number> {
    return new Map(this.#tokens);
  }
}
