import type { LogRecord } from './log-record.ts';

/** Result of one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset at which to read on: after the last record returned, or the end of the log. */
  readonly next: number;
  /** Oldest offset still retained. */
  readonly first: number;
}
