import type { EventOf } from '../types/event-of.ts';
import type { History } from '../types/history.ts';
import type { HistoryEvent } from '../types/history-event.ts';

/** Returns the events of the given type, in history order. */
export function eventsOf<Type extends HistoryEvent['type']>(
  history: History,
  type: Type,
): readonly EventOf<Type>[] {
  return history.filter((event): event is EventOf<Type> => event.type === type);
}
