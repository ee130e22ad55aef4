import { Failure } from '@ragwortrudder/core';

/** No line of the given logs mentions the request. */
export class RequestNotLogged extends Failure {
  readonly code = 'request-not-logged';

  constructor(requestId: string) {
    super(`no log line mentions request ${requestId}`, {
      status: 404,
      hint: 'pass the logs of all nodes, or look for lines-dropped events at the time of the request',
    });
  }
}
