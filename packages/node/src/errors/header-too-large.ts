import { Failure } from '@ragwortrudder/core';

/** The request's headers exceed the limit. */
export class HeaderTooLarge extends Failure {
  readonly code = 'header-too-large';

  constructor(limitBytes: number) {
    super(`the headers exceed ${limitBytes} bytes`, {
      status: 431,
      notRun: true,
      hint: 'send fewer headers',
    });
  }
}
