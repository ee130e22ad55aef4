import { EventIdInvalid } from '../errors/event-id-invalid.ts';
import type { EventPosition } from '../types/event-position.ts';

const PATTERN = /^(\d{1,9})-(\d{1,9})$/;

/**
 * Parses the id of a server-sent event.
 * @throws {@link EventIdInvalid}
 */
export function parseEventId(text: string): EventPosition {
  const match = PATTERN.exec(text);
  if (!match) throw new EventIdInvalid(text);
  return { epoch: Number(match[1]), number: Number(match[2]) };
}
