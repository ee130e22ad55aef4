import type { RequestEvent } from '../types/request-event.ts';

/** Returns whether `event` is the final event of its request. */
export function isFinal(event: RequestEvent | undefined): boolean {
  return event?.body.type === 'done' || event?.body.type === 'failed';
}
