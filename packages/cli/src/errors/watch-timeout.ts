import { Failure } from '@ragwortrudder/core';

/** A ticket did not come to its end within the time given. */
export class WatchTimeout extends Failure {
  readonly code = 'watch-timeout';

  constructor(number: number, seconds: number) {
    super(`ticket ${number} did not come to its end within ${seconds} s`, {
      retryable: true,
      hint: 'watch it again with a longer --timeout; see also: ragwortrudder status',
    });
  }
}
