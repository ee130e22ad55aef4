import type { IncomingMessage, ServerResponse } from 'node:http';

/** Call of a route, with its body parsed as JSON. */
export interface HttpCall {
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly body: unknown;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}
