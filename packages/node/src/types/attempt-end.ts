import type { RecomputeCause } from '@ragwortrudder/routing';

/** How one attempt at a model request ended. */
export type AttemptEnd =
  | { readonly kind: 'done'; readonly tokens: number }
  /** The request ended for another reason while the attempt ran. */
  | { readonly kind: 'abandoned' }
  /** The attempt was ended on purpose and another one continues. */
  | { readonly kind: 'interrupted'; readonly cause: RecomputeCause }
  /** `isVersion`: the failure counts against the version of the runner. */
  | { readonly kind: 'failed'; readonly reason: string; readonly isVersion: boolean };
