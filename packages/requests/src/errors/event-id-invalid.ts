import { Failure } from '@ragwortrudder/core';

/** The `Last-Event-ID` header does not contain an event id of this system. */
export class EventIdInvalid extends Failure {
  readonly code = 'event-id-invalid';

  constructor(text: string) {
    super(`event id ${JSON.stringify(text.slice(0, 40))} is not of the form <epoch>-<number>`, {
      status: 400,
      hint: 'send back the id field of the last event received, unchanged',
    });
  }
}
