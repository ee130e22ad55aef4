import { Failure } from '@ragwortrudder/core';

/** A request body above the limit. */
export class BodyTooLarge extends Failure {
  readonly code = 'body-too-large';

  constructor(limitBytes: number) {
    super(`body above ${limitBytes} bytes`, { status: 413, notRun: true });
  }
}
