import type { HistoryEvent } from './history-event.ts';

/** The variant of {@link HistoryEvent} with the given `type`. */
export type EventOf<Type extends HistoryEvent['type']> = Extract<
  HistoryEvent,
  { readonly type: Type }
>;
