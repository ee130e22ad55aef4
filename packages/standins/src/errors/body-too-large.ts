import { Failure } from '@ragwortrudder/core';

/** A request body exceeds the size limit. */
export class BodyTooLarge extends Failure {
  readonly code = 'body-too-large';

  constructor(limitBytes: number) {
    super(`request body exceeds the limit of ${limitBytes} bytes`, { status: 413, notRun: true });
  }
}
