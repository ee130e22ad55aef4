import { Agent } from 'node:http';
import got from 'got';

interface CallReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

interface CallOptions {
  readonly json?: unknown;
  readonly method?: 'GET' | 'POST' | 'DELETE';
  readonly signal?: AbortSignal;
}

/** Uses a new connection for each call, since a kept-alive one may have been closed by the server meanwhile. */
const agent = { http: new Agent({ keepAlive: false }) };

/** Calls a stand-in; uses POST by default if a body is given. */
export async function call(url: string, options: CallOptions = {}): Promise<CallReply> {
  const { json, method = json === undefined ? 'GET' : 'POST', signal } = options;
  const { statusCode, body, headers } = await got(`http://${url}`, {
    method,
    agent,
    ...(json === undefined ? {} : { json }),
    ...(signal ? { signal } : {}),
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
  return { status: statusCode, body: JSON.parse(body || '{}') as CallReply['body'], headers };
}
