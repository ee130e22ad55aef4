/** Source of pseudo-random numbers, passed to every decision so that it can be replayed. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}
