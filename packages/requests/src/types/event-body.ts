import type { RequestEvent } from './request-event.ts';

/** Content of an event, without its number. */
export type EventBody = RequestEvent['body'];
