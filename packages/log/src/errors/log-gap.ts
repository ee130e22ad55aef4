import { Failure } from '@ragwortrudder/core';

/** A read skipped records; records after the gap are not folded. */
export class LogGap extends Failure {
  readonly code = 'log-gap';

  constructor(expected: number, found: number) {
    super(`expected the record at offset ${expected}, found ${found}`, {
      status: 502,
      retryable: true,
      hint: 'the log lost or renumbered records; see docs/operate/log-outage.md',
    });
  }
}
