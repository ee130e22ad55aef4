import { Refusal } from '../errors/refusal.ts';

const HTTP_UNAVAILABLE = 503;
/** Retry-After of a node that is shutting down, in milliseconds. */
const RETRY_MS = 50;

/** Refusal of a request that reaches a node after the time in which it takes new ones. */
export function stoppingRefusal(): Refusal {
  return new Refusal('node-stopping', { status: HTTP_UNAVAILABLE, retryAfterMs: RETRY_MS });
}
