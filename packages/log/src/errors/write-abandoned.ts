import { Failure } from '@ragwortrudder/core';

/** A write was abandoned before its entry was read back. */
export class WriteAbandoned extends Failure {
  readonly code = 'write-abandoned';
  /** True when an append with the entry was sent and its outcome is unknown. */
  readonly mayTakeEffect: boolean;

  constructor(mayTakeEffect: boolean, reason = 'timed out') {
    super(
      mayTakeEffect
        ? `write ${reason}; its entry may still take effect`
        : `write ${reason}; its entry will not take effect`,
      {
        status: 503,
        retryable: true,
        notRun: !mayTakeEffect,
        hint: 'see docs/operate/log-outage.md',
      },
    );
    this.mayTakeEffect = mayTakeEffect;
  }
}
