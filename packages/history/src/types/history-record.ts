import type { HistoryEvent } from './history-event.ts';

type WithoutWriterFields<Event> = Event extends unknown
  ? Omit<Event, 'process' | 'seq' | 'at'>
  : never;

/** A {@link HistoryEvent} without the fields that the writer fills in: `process`, `seq` and `at`. */
export type HistoryRecord = WithoutWriterFields<HistoryEvent>;
