/** A connection whose reads can be put off. */
export interface Reader {
  hold(): void;
  release(): void;
}
