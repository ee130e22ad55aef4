import type { RequestEvent } from '@ragwortrudder/requests';

/** Where to read the response to a submitted request. */
export type Submission =
  | { readonly kind: 'request'; readonly id: string }
  /** The response is already known, for example from an earlier use of the same key. */
  | { readonly kind: 'answer'; readonly events: readonly RequestEvent[] };
