import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseFraming } from '../types/response-framing.ts';
import { hasBody } from './has-body.ts';

interface ResponseOptions {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Returns what marks the end of a response's body (RFC 9112, section 6.3). */
export function responseFraming({ method, status, headers }: ResponseOptions): ResponseFraming {
  if (!hasBody(method, status)) return 'length';
  const encoding = headers['transfer-encoding'];
  if (encoding !== undefined) {
    return /(?:^|,)\s*chunked\s*$/i.test(encoding) ? 'chunked' : 'connection';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
