import { Failure } from '@ragwortrudder/core';

/** No line of the logs names the request. */
export class RequestNotLogged extends Failure {
  readonly code = 'request-not-logged';

  constructor(requestId: string) {
    super(`no log line names request ${requestId}`, {
      status: 404,
      hint: 'give the logs of all nodes, or look for lines-dropped at the time of the request',
    });
  }
}
