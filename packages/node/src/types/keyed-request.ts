import type { NewRequest } from './new-request.ts';

/** New request with an idempotency key. */
export interface KeyedRequest extends NewRequest {
  readonly key: string;
}
