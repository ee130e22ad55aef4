/**
 * Longest delay, in milliseconds. A timer of the runtime can wait for a little more than twice that, and fires at once with
 * anything longer; a sum of two delays is still one that it can wait for.
 */
const MAX_DELAY_MS = 1_000_000_000;

/**
 * Delay for a timer from a time that others have stated, in milliseconds: never longer than a timer can
 * wait. What is not a number counts as the longest time.
 */
export function timerDelayMs(ms: number): number {
  if (Number.isNaN(ms)) return MAX_DELAY_MS;
  return Math.min(MAX_DELAY_MS, Math.max(0, ms));
}
