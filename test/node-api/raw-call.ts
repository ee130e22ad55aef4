import { connect } from 'node:net';

interface RawCallOptions {
  readonly port: number;
  /** Raw text of the request, sent in a single write. */
  readonly text: string;
  /** Idle time in milliseconds after which the connection is closed from this side. */
  readonly waitMs?: number;
}

interface RawAnswer {
  readonly status: number;
  readonly headers: string;
  readonly body: string;
}

const DEFAULT_WAIT_MS = 20_000;

/** Sends raw text on a new connection and reads the response until the connection closes. */
export async function rawCall(options: RawCallOptions): Promise<RawAnswer> {
  const { port, text, waitMs = DEFAULT_WAIT_MS } = options;
  const received = await new Promise<string>((resolve) => {
    let data = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text));
    socket.setTimeout(waitMs, () => socket.destroy());
    socket.on('data', (chunk) => (data += chunk.toString('utf8')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(data);
    });
  });
  const [headers = '', body = ''] = received.split('\r\n\r\n');
  return { status: Number(headers.split(' ')[1]), headers, body };
}
