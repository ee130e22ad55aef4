import { Failure } from '@ragwortrudder/core';

/** A `Last-Event-ID` that no node of this system sent. */
export class EventIdInvalid extends Failure {
  readonly code = 'event-id-invalid';

  constructor(text: string) {
    super(`event id ${JSON.stringify(text.slice(0, 40))} is not of the form <epoch>-<number>`, {
      status: 400,
      hint: 'send back the id field of the last event received, unchanged',
    });
  }
}
