import type { KeyedRecord } from './keyed-record.ts';

/** Records of a keyed topic, ordered by offset. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset at which the next read starts. */
  readonly next: number;
  /** Era of the log in which the offsets are valid. */
  readonly era: number;
}
