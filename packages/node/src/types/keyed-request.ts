import type { NewRequest } from './new-request.ts';

/** A request under an idempotency key. */
export interface KeyedRequest extends NewRequest {
  readonly key: string;
}
