/**
 * The attempts that this incarnation began to send or gave up. An attempt does one of the two,
 * once, so that two requests of one node never both send, and a refusal as not run stays true.
 */
export class AttemptLedger {
  readonly #begun = new Set<number>();
  readonly #forfeited = new Set<number>();
  #floor = 0;

  /** Takes the attempt for sending; true for the first call only, and never after a forfeit. */
  begin(attempt: number): boolean {
    if (this.isStarted(attempt)) return false;
    this.#begun.add(attempt);
    return true;
  }

  /** Gives the attempt up; true when it was not and will never be sent by this incarnation. */
  forfeit(attempt: number): boolean {
    if (this.#begun.has(attempt) || attempt < this.#floor) return false;
    this.#forfeited.add(attempt);
    return true;
  }

  /** True when the attempt was begun, given up or forgotten. */
  isStarted(attempt: number): boolean {
    return attempt < this.#floor || this.#begun.has(attempt) || this.#forfeited.has(attempt);
  }

  /**
   * Releases the memory of one attempt. Its outcome must have been read back into the state that
   * decisions use, and each `begin` must follow its decision in the same turn; a request that
   * decided earlier could otherwise begin it again.
   */
  forget(attempt: number): void {
    this.#begun.delete(attempt);
    this.#forfeited.delete(attempt);
  }

  /**
   * Releases the memory of all attempts below a position; none of them begins any more. The
   * position comes from `oldestOpenAttempt`, as a takeover can hand this node any open attempt.
   */
  forgetBefore(position: number): void {
    if (position <= this.#floor) return;
    this.#floor = position;
    for (const attempts of [this.#begun, this.#forfeited]) {
      for (const attempt of attempts) if (attempt < position) attempts.delete(attempt);
    }
  }
}
