import { Failure } from '@ragwortrudder/core';

/** The ticket was not read back from the log in time, so it is unknown whether it was recorded. */
export class TicketNotRecorded extends Failure {
  readonly code = 'ticket-not-recorded';

  constructor(cause: unknown) {
    super('the ticket could not be read back from the log', {
      status: 503,
      retryable: true,
      retryAfterMs: 2000,
      cause,
      hint: 'submit the same ticket again; it takes effect at most once',
    });
  }
}
