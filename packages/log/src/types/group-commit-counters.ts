/** Counters of a group commit since its start. */
export interface GroupCommitCounters {
  /** Appends sent to the log, retries included. */
  readonly appends: number;
  /** Entries read back from the log. */
  readonly entries: number;
  /** Appends sent again after a failure. */
  readonly retries: number;
  /** Reads to the end of the log after a failed append. */
  readonly readBacks: number;
  /** Appends that the log refused for its rate. */
  readonly throttled: number;
}
