import type { ServerResponse } from 'node:http';

/** Makes the end of the connection the end of the response's body: no length and no chunks. */
export function omitFraming(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.removeHeader('content-length');
  response.removeHeader('transfer-encoding');
}
