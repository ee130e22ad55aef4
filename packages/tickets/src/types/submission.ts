/** A ticket as one entry submitted it. */
export interface Submission {
  readonly number: number;
  /** Identifier of the log entry that carried the ticket. */
  readonly entryId: string;
}
