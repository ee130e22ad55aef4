import type { HistoryEvent } from './history-event.ts';

type Strip<Event> = Event extends unknown ? Omit<Event, 'process' | 'seq' | 'at'> : never;

/** Event without what its writer adds. */
export type HistoryRecord = Strip<HistoryEvent>;
