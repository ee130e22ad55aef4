import { STATUS_CODES } from 'node:http';
import type { Failure } from '@ragwortrudder/core';
import { toProblem } from './to-problem.ts';

/**
 * Raw HTTP response with the problem body of `failure`, for a connection without a parsed request.
 */
export function toProblemMessage(failure: Failure): string {
  const body = JSON.stringify(toProblem(failure));
  const lines = [
    `HTTP/1.1 ${failure.status} ${STATUS_CODES[failure.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
