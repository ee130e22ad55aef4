/**
 * The attempts that this incarnation began to send or gave up. An attempt does one of the two,
 * once, so that two requests of one node never both send, and a refusal as not run stays true.
 */
export class AttemptLedger {
  readonly #begun = new Set<number>();
  readonly #forfeited = new Set<number>();

  /** Takes the attempt for sending; true for the first call only, and never after a forfeit. */
  begin(attempt: number): boolean {
    if (this.isStarted(attempt)) return false;
    this.#begun.add(attempt);
    return true;
  }

  /** Gives the attempt up; true when it was not and will never be sent by this incarnation. */
  forfeit(attempt: number): boolean {
    if (this.#begun.has(attempt)) return false;
    this.#forfeited.add(attempt);
    return true;
  }

  /** True when the attempt was begun or given up. */
  isStarted(attempt: number): boolean {
    return this.#begun.has(attempt) || this.#forfeited.has(attempt);
  }

  /** Drops an attempt once its outcome was read back from the log. */
  forget(attempt: number): void {
    this.#begun.delete(attempt);
    this.#forfeited.delete(attempt);
  }
}
