import type { IncomingHttpHeaders } from 'node:http';

/** Whole response to an HTTP call. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}
