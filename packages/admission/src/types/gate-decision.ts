/** Why the gate refuses a request. */
type GateRefusalReason = 'target-of-more-urgent' | 'deadline' | 'displaced';

/** Decision about a request that has not been sent to a runner. */
export type GateDecision =
  | { readonly kind: 'admit' }
  | { readonly kind: 'wait' }
  | {
      readonly kind: 'refuse';
      readonly reason: GateRefusalReason;
      readonly retryAfterMs: number;
    };
