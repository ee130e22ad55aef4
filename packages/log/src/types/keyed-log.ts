import type { KeyedAppend } from './keyed-append.ts';
import type { KeyedPage } from './keyed-page.ts';
import type { KeyedRead } from './keyed-read.ts';

/** Log with compacted topics: the newest record of each key is retained indefinitely. */
export interface KeyedLog {
  /**
   * Newest era that a reply named. It rises when the log is restored from an older copy: newer records
   * are lost, and their offsets are given out again. Replies of an older era are rejected.
   */
  readonly era: number;
  /** Returns the newest record of each key in a topic, and the offset that follows them. */
  newest(topic: string): Promise<KeyedPage>;
  /** Reads records from an offset on; throws `LogExpired` when they are no longer retained. */
  read(range: KeyedRead): Promise<KeyedPage>;
  /**
   * Appends a record and returns its offset. Throws `AppendConflict` when the topic does not end at
   * `at` or the log is not in `era`. After `LogUnavailable` the append may still take effect, unless
   * `notRun` is set.
   */
  append(record: KeyedAppend): Promise<number>;
}
