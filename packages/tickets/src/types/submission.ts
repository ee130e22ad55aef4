/** Submission of a ticket by one log entry. */
export interface Submission {
  readonly number: number;
  /** Identifier of the log entry that contained the ticket. */
  readonly entryId: string;
}
