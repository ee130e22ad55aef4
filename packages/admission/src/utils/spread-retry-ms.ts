import type { Random } from '@ragwortrudder/core';

interface RetrySpread {
  /** Time until there should be capacity, in milliseconds. */
  readonly expectedMs: number;
  /** Time until the deadline of the caller, in milliseconds. */
  readonly remainingMs: number;
  readonly random: Random;
}

/**
 * Width of the spread as a fraction of the delay, so that rejected callers do not return together. The
 * header may have a resolution of 10 ms, at which a narrow spread has few values.
 */
const SPREAD = 1;
/** Fraction of its remaining time that a caller is asked to wait at most; it may be rejected again. */
const MAX_REMAINING_SHARE = 1 / 3;
/** Shortest mean delay, in milliseconds: a caller that returns sooner finds nothing changed. */
const MIN_RETRY_MS = 100;

/** Randomized Retry-After of a rejected request, in milliseconds. */
export function spreadRetryMs({ expectedMs, remainingMs, random }: RetrySpread): number {
  const longestMs = Math.max(1, remainingMs * MAX_REMAINING_SHARE);
  const meanMs = Math.min(Math.max(MIN_RETRY_MS, expectedMs), longestMs / (1 + SPREAD / 2));
  return meanMs * (1 - SPREAD / 2 + SPREAD * random.next());
}
