import type { LogRecord } from './log-record.ts';

/** Result of one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Offset after the last record that the log shows. */
  readonly next: number;
  /** Oldest offset still retained. */
  readonly first: number;
}
