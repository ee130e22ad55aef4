import type { KeyedRecord } from './keyed-record.ts';

/** Records of a keyed topic in order of offset, and where the next ones begin. */
export interface KeyedPage {
  readonly records: readonly KeyedRecord[];
  /** Offset from which to read on. */
  readonly next: number;
}
