/** Holds the body of a request in memory. */
export interface BodyHolder {
  /** Refuses the request, whose body has not arrived completely, and lets go of its memory. */
  evict(): void;
}
