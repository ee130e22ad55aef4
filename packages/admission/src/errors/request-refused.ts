import { Failure } from '@ragwortrudder/core';
import type { RefusalReason } from '../types/refusal-reason.ts';

const HINTS: Readonly<Record<RefusalReason, string>> = {
  'wait-exceeds-deadline': 'retry later, or allow a later deadline',
  'queue-full': 'retry later',
  'tenant-queue-full': 'the queue share of this tenant is full; send fewer requests concurrently',
  'deadline-passed': 'allow a later deadline',
  displaced:
    'the queue is full and this tenant exceeds its fair share of it; send fewer requests concurrently',
};

/** Admission control refused the request; the request has not been run. */
export class RequestRefused extends Failure {
  readonly code = 'request-refused';
  readonly reason: RefusalReason;

  constructor(reason: RefusalReason, retryAfterMs: number) {
    const hint = HINTS[reason];
    super(`request refused by admission control: ${reason}`, {
      status: 429,
      retryable: true,
      notRun: true,
      retryAfterMs,
      hint,
    });
    this.reason = reason;
  }
}
