/** Longest delay of a timer of the runtime, in milliseconds; a longer one fires at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Delay for a timer from a time that others have stated, in milliseconds: never longer than a timer can
 * wait. What is not a number counts as the longest time.
 */
export function timerDelayMs(ms: number): number {
  if (Number.isNaN(ms)) return MAX_DELAY_MS;
  return Math.min(MAX_DELAY_MS, Math.max(0, ms));
}
