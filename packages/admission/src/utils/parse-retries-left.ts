const DEFAULT_MAX_RETRIES = 2;

/**
 * Parses the value of {@link RETRIES_LEFT_HEADER}: an absent value means `max`, a larger value is
 * capped at `max`, and a malformed value allows no retry.
 */
export function parseRetriesLeft(value: string | undefined, max = DEFAULT_MAX_RETRIES): number {
  if (value === undefined) return max;
  if (!/^\d{1,6}$/.test(value)) return 0;
  return Math.min(max, Number(value));
}
