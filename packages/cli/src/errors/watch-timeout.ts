import { Failure } from '@ragwortrudder/core';

/** The outcome of a ticket was not final within the time limit of the watch. */
export class WatchTimeout extends Failure {
  readonly code = 'watch-timeout';

  constructor(number: number, seconds: number) {
    super(`ticket ${number} was still in progress after ${seconds} s`, {
      retryable: true,
      hint: 'watch it again with a longer --timeout; see also: ragwortrudder status',
    });
  }
}
