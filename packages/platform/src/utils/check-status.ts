import { NotFound } from '../errors/not-found.ts';
import { PlatformRateExceeded } from '../errors/platform-rate-exceeded.ts';
import { PlatformUnavailable } from '../errors/platform-unavailable.ts';
import type { Answer } from '../types/answer.ts';
import { retryAfterMs } from './retry-after-ms.ts';

/** Throws the failure that the status of an answer stands for; returns at a status of success. */
export function checkStatus({ status, retryAfter }: Answer, what: string): void {
  if (status >= 200 && status < 300) return;
  if (status === 404) throw new NotFound(what);
  if (status === 429) throw new PlatformRateExceeded(retryAfterMs(retryAfter, Date.now()));
  throw new PlatformUnavailable(`${what}: status ${status}`);
}
