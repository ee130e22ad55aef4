import { timerDelayMs } from '@ragwortrudder/core';

const DEFAULT_DELAY_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Converts a `Retry-After` header, given in seconds or as a date, to a delay in milliseconds. */
export function retryAfterMs(header: string | undefined, nowMs: number): number {
  if (header === undefined || header.trim() === '') return DEFAULT_DELAY_MS;
  const seconds = Number(header);
  if (Number.isFinite(seconds)) return timerDelayMs(seconds * MS_PER_SECOND);
  const date = Date.parse(header);
  return Number.isNaN(date) ? DEFAULT_DELAY_MS : timerDelayMs(date - nowMs);
}
