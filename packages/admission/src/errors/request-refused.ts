import { Failure } from '@ragwortrudder/core';
import type { RefusalReason } from '../types/refusal-reason.ts';

const HINTS: Readonly<Record<RefusalReason, string>> = {
  'wait-exceeds-deadline': 'retry later, or allow a later deadline',
  'queue-full': 'retry later',
  'tenant-queue-full': 'this tenant has too many waiting requests; send fewer at a time',
  'deadline-passed': 'allow a later deadline',
  displaced: 'this tenant has more than its share of waiting requests; send fewer at a time',
};

/** A request that admission refused; it has not been run. */
export class RequestRefused extends Failure {
  readonly code = 'request-refused';
  readonly reason: RefusalReason;

  constructor(reason: RefusalReason, retryAfterMs: number) {
    const hint = HINTS[reason];
    super(`refused: ${reason}`, { status: 429, retryable: true, notRun: true, retryAfterMs, hint });
    this.reason = reason;
  }
}
