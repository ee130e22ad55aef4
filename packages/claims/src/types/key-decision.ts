import type { Owner } from './owner.ts';

/** Decision of a node on a request under an issued key. */
export type KeyDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'forward'; readonly to: Owner }
  | {
      readonly kind: 'answer';
      readonly word: 'completed' | 'failed' | 'not-run';
      readonly result?: unknown;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: 'key-reused' | 'key-expired' | 'wrong-tenant';
      readonly notRun: true;
    }
  | { readonly kind: 'unknown' };
