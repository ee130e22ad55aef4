import type { RequestEvent } from '@ragwortrudder/requests';

/** Where the answer to a submitted request is to be read. */
export type Submission =
  | { readonly kind: 'request'; readonly id: string }
  /** The answer is known already, for example from an earlier use of the same key. */
  | { readonly kind: 'answer'; readonly events: readonly RequestEvent[] };
