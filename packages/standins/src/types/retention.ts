/** Limits after which the log forgets records; each limit is optional. */
export interface Retention {
  /** Age in milliseconds from which a record is forgotten. */
  readonly ageMs?: number | undefined;
  /** Number of newest records kept in each stream. */
  readonly count?: number | undefined;
}
