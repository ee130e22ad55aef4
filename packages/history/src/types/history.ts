import type { HistoryEvent } from './history-event.ts';

/** Merged events of all processes of one run, ordered by time, then by process and sequence number. */
export type History = readonly HistoryEvent[];
