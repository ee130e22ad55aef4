import type { HistoryEvent } from './history-event.ts';

/** Event of one type. */
export type EventOf<Type extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  { readonly type: Type }
>;
