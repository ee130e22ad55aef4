import type { ServerResponse } from 'node:http';
import type { Failure } from '@ragwortrudder/core';
import { toProblem } from '../../utils/to-problem.ts';

const MS_PER_SECOND = 1000;

/**
 * Sends `failure` as a problem response; if the headers have already been sent, only ends the
 * response.
 */
export function sendProblem(response: ServerResponse, failure: Failure): void {
  if (response.headersSent) {
    response.end();
    return;
  }
  const body = JSON.stringify(toProblem(failure));
  const retryAfter =
    failure.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(failure.retryAfterMs / MS_PER_SECOND))) };
  response.writeHead(failure.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...retryAfter,
  });
  response.end(body);
}
