import type { KeyedAppend } from './keyed-append.ts';
import type { KeyedPage } from './keyed-page.ts';
import type { KeyedRead } from './keyed-read.ts';

/** Log whose topics keep the newest record of each key for good. */
export interface KeyedLog {
  /** Newest record of each key of a topic, and the offset after them. */
  newest(topic: string): Promise<KeyedPage>;
  /** Records from an offset; throws `LogExpired` when they are gone. */
  read(range: KeyedRead): Promise<KeyedPage>;
  /**
   * Appends a record and returns its offset. Throws `AppendConflict` when the topic does not end at
   * `at`. After `LogUnavailable` the append may still take effect, unless `notRun` is set.
   */
  append(record: KeyedAppend): Promise<number>;
}
