import type { History } from '../types/history.ts';
import type { HistoryEvent } from '../types/history-event.ts';

interface Timed {
  readonly event: HistoryEvent;
  /** Wall-clock time that never goes back within a process. */
  readonly time: number;
}

function compare(a: Timed, b: Timed): number {
  if (a.time !== b.time) return a.time - b.time;
  if (a.event.process === b.event.process) return a.event.seq - b.event.seq;
  return a.event.process < b.event.process ? -1 : 1;
}

/** Orders events by time; the order within one process is always that of its sequence numbers. */
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
