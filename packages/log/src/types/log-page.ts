import type { LogRecord } from './log-record.ts';

/** Result of one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /**
   * Offset at which the next read starts: after the last returned record, or the end of the log.
   */
  readonly next: number;
  /** Oldest retained offset. */
  readonly first: number;
}
