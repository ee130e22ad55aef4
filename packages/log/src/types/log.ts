import type { LogAppend } from './log-append.ts';
import type { LogPage } from './log-page.ts';
import type { LogRead } from './log-read.ts';

/** One append-only stream of the platform's log. */
export interface Log {
  /**
   * Appends a record and returns its offset. After `LogUnavailable` the append may still have taken
   * effect.
   */
  append(record: LogAppend): Promise<number>;
  /** Reads records in offset order. */
  read(range: LogRead): Promise<LogPage>;
}
