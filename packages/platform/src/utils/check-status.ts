import { isSuccess } from '@ragwortrudder/core';
import { NotFound } from '../errors/not-found.ts';
import { PlatformRateExceeded } from '../errors/platform-rate-exceeded.ts';
import { PlatformUnavailable } from '../errors/platform-unavailable.ts';
import type { PlatformAnswer } from '../types/platform-answer.ts';
import { retryAfterMs } from './retry-after-ms.ts';

/** Throws the failure that corresponds to the status of an answer, unless it is a success status. */
export function checkStatus({ status, retryAfter }: PlatformAnswer, subject: string): void {
  if (isSuccess(status)) return;
  if (status === 404) throw new NotFound(subject);
  if (status === 429) throw new PlatformRateExceeded(retryAfterMs(retryAfter, Date.now()));
  throw new PlatformUnavailable(
    `${subject}: the platform answered with unexpected status ${status}`,
  );
}
