import type { Owner } from './owner.ts';

/** Evidence from a peer's replica or the log about an issued key whose executor is gone. */
export interface KeyProof {
  readonly requestDigest?: string;
  readonly outcome:
    | { readonly word: 'completed' | 'failed'; readonly result?: unknown }
    | { readonly word: 'not-run' }
    | { readonly word: 'transferred'; readonly to: Owner };
}
