import type { Answer } from './answer.ts';

/** How one send of a request to a runner ended. */
export type AttemptOutcome =
  /** The runner answered whole. */
  | { readonly kind: 'answered'; readonly answer: Answer }
  /** The answer was passed on to its end as it came. */
  | { readonly kind: 'relayed' }
  /** The runner states that it did not run the request. */
  | { readonly kind: 'refused'; readonly isMisdirected: boolean }
  /** Nothing was sent. */
  | { readonly kind: 'unsent' }
  /** The runner broke off, answered nonsense or fell silent; the request may have run. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** The caller has left, or the time is up. */
  | { readonly kind: 'ended' };
