import type { RequestClass } from './request-class.ts';

/** Number of queued requests by class. */
export type QueueSizes = Readonly<Record<RequestClass, number>>;
