/**
 * Tracks the attempts that this incarnation has begun to send or has forfeited. An attempt can do
 * only one of the two, and only once: two requests on one node never both send it, and a `not-run`
 * refusal stays valid.
 */
export class AttemptTracker {
  readonly #begun = new Set<number>();
  readonly #forfeited = new Set<number>();
  #forgottenBelow = 0;

  /** Begins sending the attempt; returns true only for the first call, and never after a forfeit. */
  begin(attempt: number): boolean {
    if (this.isStarted(attempt)) return false;
    this.#begun.add(attempt);
    return true;
  }

  /** Forfeits the attempt; returns true if this incarnation has not sent it and never will. */
  forfeit(attempt: number): boolean {
    if (this.#begun.has(attempt) || attempt < this.#forgottenBelow) return false;
    this.#forfeited.add(attempt);
    return true;
  }

  /** Returns whether the attempt was begun, forfeited or forgotten. */
  isStarted(attempt: number): boolean {
    return (
      attempt < this.#forgottenBelow || this.#begun.has(attempt) || this.#forfeited.has(attempt)
    );
  }

  /**
   * Removes one attempt. Its outcome must have been read back into the state on which decisions
   * are based, and `begin` must be called in the same event-loop turn as its decision; otherwise a
   * request with an earlier decision could begin the attempt again.
   */
  forget(attempt: number): void {
    this.#begun.delete(attempt);
    this.#forfeited.delete(attempt);
  }

  /**
   * Removes all attempts below a position; none of them can begin afterwards. The position must
   * come from `oldestOpenAttempt`, because a takeover can assign any open attempt to this node.
   */
  forgetBefore(position: number): void {
    if (position <= this.#forgottenBelow) return;
    this.#forgottenBelow = position;
    for (const attempts of [this.#begun, this.#forfeited]) {
      for (const attempt of attempts) if (attempt < position) attempts.delete(attempt);
    }
  }
}
