import { connect } from 'node:net';

interface RawCallOptions {
  readonly port: number;
  /** Sent at once. */
  readonly text: string;
  /** Time in milliseconds to wait for the end of the connection. */
  readonly waitMs?: number;
}

interface RawAnswer {
  readonly status: number;
  readonly headers: string;
  readonly body: string;
}

const DEFAULT_WAIT_MS = 20_000;

/** Sends bytes on a connection of its own and reads what comes back until the other end closes. */
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
