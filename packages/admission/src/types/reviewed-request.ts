import type { GateDecision } from './gate-decision.ts';
import type { OrderedRequest } from './ordered-request.ts';

/** Request that has left the queue of a gate. */
export interface ReviewedRequest {
  readonly request: OrderedRequest;
  readonly decision: Exclude<GateDecision, { readonly kind: 'wait' }>;
}
