import type { History } from '../types/history.ts';
import type { HistoryEvent } from '../types/history-event.ts';

interface TimedEvent {
  readonly event: HistoryEvent;
  /** Wall-clock time, adjusted so that it never decreases within a process. */
  readonly time: number;
}

function compare(a: TimedEvent, b: TimedEvent): number {
  if (a.time !== b.time) return a.time - b.time;
  if (a.event.process === b.event.process) return a.event.seq - b.event.seq;
  return a.event.process < b.event.process ? -1 : 1;
}

/**
 * Orders events by time. Events of one process stay in the order of their sequence numbers, even if
 * its wall clock is set back.
 */
export function orderHistory(events: readonly HistoryEvent[]): History {
  const latest = new Map<string, number>();
  const timed = events
    .toSorted((a, b) => a.seq - b.seq)
    .map((event) => {
      const time = Math.max(event.at, latest.get(event.process) ?? event.at);
      latest.set(event.process, time);
      return { event, time };
    });
  return timed.toSorted(compare).map(({ event }) => event);
}
