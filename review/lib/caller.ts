import { Agent, request as sendRequest } from 'node:http';

export interface Answer {
  /** Undefined when the connection ended without a complete answer. */
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: string;
  readonly tookMs: number;
  /** Why there is no complete answer. */
  readonly failure?: string;
}

interface Call {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly agent?: Agent;
}

/** Sends one request as a sound consumer, and waits for its answer or its time limit. */
export function send(call: Call): Promise<Answer> {
  const { address, method, path, headers, body, timeoutMs, agent = new Agent() } = call;
  const [host = '', port = ''] = address.split(':');
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let status: number | undefined;
    let received: Answer['headers'] = {};
    const finish = (failure?: string): void => {
      clearTimeout(timer);
      resolve({
        status: failure === undefined ? status : undefined,
        headers: received,
        body: Buffer.concat(chunks).toString('latin1'),
        tookMs: performance.now() - startedAt,
        ...(failure === undefined ? {} : { failure }),
      });
    };
    const length: Readonly<Record<string, string>> =
      body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) };
    const client = sendRequest({
      host,
      port: Number(port),
      method,
      path,
      agent,
      headers: { ...headers, ...length },
      setHost: false,
    });
    const timer = setTimeout(() => {
      finish('time limit');
      client.destroy();
    }, timeoutMs);
    client.on('response', (response) => {
      status = response.statusCode;
      received = response.headers;
      response.on('data', (bytes: Buffer) => chunks.push(bytes));
      response.on('error', (error) => {
        finish(error.message);
      });
      response.on('end', () => {
        finish(response.complete ? undefined : 'incomplete');
      });
    });
    client.on('error', (error) => {
      finish(error.message);
    });
    client.end(body);
  });
}
