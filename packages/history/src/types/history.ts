import type { HistoryEvent } from './history-event.ts';

/** Events of all processes of one run, ordered by time, then process and sequence number. */
export type History = readonly HistoryEvent[];
