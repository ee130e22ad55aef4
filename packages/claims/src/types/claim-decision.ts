import type { Owner } from './owner.ts';

/**
 * Next step of a node for a non-idempotent request. `run` names the step that is now allowed:
 * append a `claim`, `takeover` or `sending` entry, or `send` the request to a runner.
 */
export type ClaimDecision =
  | { readonly kind: 'run'; readonly step: 'claim' }
  | {
      readonly kind: 'run';
      readonly step: 'takeover';
      readonly attempt: number;
      readonly from: Owner;
    }
  | { readonly kind: 'run'; readonly step: 'sending' | 'send'; readonly attempt: number }
  | { readonly kind: 'wait'; readonly owner: Owner }
  | {
      readonly kind: 'answer';
      readonly word: 'completed' | 'failed';
      readonly result?: unknown;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: 'key-reused' | 'not-run' | 'log-unavailable';
      readonly notRun: true;
      readonly retryAfterMs?: number;
    }
  | { readonly kind: 'unknown'; readonly owner: Owner };
