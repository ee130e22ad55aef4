import type { RequestEvent } from '../types/request-event.ts';

/** Tells whether `event` is the last one of its request. */
export function isFinal(event: RequestEvent | undefined): boolean {
  return event?.body.type === 'done' || event?.body.type === 'failed';
}
