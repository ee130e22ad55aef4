/** Counters of a `GroupCommit` since it was created. */
export interface GroupCommitCounters {
  /** Appends sent to the log, including retries. */
  readonly appends: number;
  /** Entries read back from the log. */
  readonly entries: number;
  /** Appends retried after a failure. */
  readonly retries: number;
  /** Reads to the end of the log that check whether a failed append took effect. */
  readonly readBacks: number;
  /** Appends rejected by the log's rate limit. */
  readonly throttled: number;
}
