import type { RecomputeCause } from '@ragwortrudder/routing';

/** How one attempt at a model request ended. */
export type AttemptEnd =
  | { readonly kind: 'done'; readonly tokens: number }
  /** The request ended for a reason outside this attempt, such as a cancellation. */
  | { readonly kind: 'abandoned' }
  /** The node stopped the attempt on purpose; another attempt continues the request. */
  | { readonly kind: 'interrupted'; readonly cause: RecomputeCause }
  /**
   * `countsAgainstVersion` is true when the failure is evidence that the runner's version is bad.
   */
  | { readonly kind: 'failed'; readonly reason: string; readonly countsAgainstVersion: boolean };
