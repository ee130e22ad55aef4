import type { RequestClass } from './request-class.ts';

/** Queued requests by class. */
export type QueueSizes = Readonly<Record<RequestClass, number>>;
