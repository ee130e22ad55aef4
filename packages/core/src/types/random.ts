/** Source of pseudo-random numbers, injected so that decisions can be replayed. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}
