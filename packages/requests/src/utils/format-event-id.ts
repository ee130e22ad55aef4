import type { EventPosition } from '../types/event-position.ts';

/** Formats the id of a server-sent event: `<epoch>-<number>`. */
export function formatEventId(position: EventPosition): string {
  return `${position.epoch}-${position.number}`;
}
