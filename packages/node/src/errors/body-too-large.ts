import { Failure } from '@ragwortrudder/core';

/** The request body exceeds the limit. */
export class BodyTooLarge extends Failure {
  readonly code = 'body-too-large';

  constructor(limitBytes: number) {
    super(`the body exceeds ${limitBytes} bytes`, {
      status: 413,
      notRun: true,
      hint: 'shorten the request',
    });
  }
}
