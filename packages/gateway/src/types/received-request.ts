import type { CallerRequest } from './caller-request.ts';
import type { PassedRequest } from './passed-request.ts';

/** A caller's request that a peer has passed on. */
export interface ReceivedRequest extends CallerRequest {
  readonly passed: PassedRequest;
}
