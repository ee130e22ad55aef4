import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { Settings } from '@ragwortrudder/settings';
import { ModelClient } from '../../packages/node/src/node/runners/model-client.ts';
import type { EngineEvent } from '../../packages/node/src/types/engine-event.ts';

const settings = { requests: { runnerConnectMs: 1000 } } as unknown as Settings;
const generation = { requestId: 'r', prompt: 'ä', generated: [], maxTokens: 2, priority: 0 };
const token = 'data: {"type":"token","index":0,"text":"a"}\n\n';

async function startServer(
  listener: RequestListener,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function readEvents(
  listener: RequestListener,
  onEvent: (event: EngineEvent, abort: AbortController) => void = () => undefined,
): Promise<readonly EngineEvent[]> {
  const { server, address } = await startServer(listener);
  const client = new ModelClient(settings);
  const abort = new AbortController();
  const events: EngineEvent[] = [];
  try {
    for await (const event of client.generate(address, generation, abort.signal)) {
      events.push(event);
      onEvent(event, abort);
    }
    return events;
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

test('events are parsed from chunks of any size', async (t) => {
  const events = await readEvents((request, response) => {
    request.resume();
    response.write(token.slice(0, 20));
    setTimeout(() => response.end(`${token.slice(20)}${token}`), 10);
  });
  t.deepEqual(
    events.map(({ type }) => type),
    ['token', 'token'],
  );
});

test('an error response is reported with its status code', async (t) => {
  const failing = readEvents((_request, response) => response.writeHead(503).end());
  await t.throwsAsync(failing, { message: /status code 503/ });
});

test('a connection that closes before or during the response is an error', async (t) => {
  await t.throwsAsync(readEvents((request) => request.socket.destroy()));
  await t.throwsAsync(
    readEvents((_request, response) => response.write(token, () => response.destroy())),
  );
});

test('aborting the reader closes the connection to the engine', async (t) => {
  let closed: Promise<void> | undefined;
  const failing = readEvents(
    (_request, response) => {
      closed = new Promise((resolve) => response.once('close', resolve));
      response.write(token);
    },
    (_event, abort) => {
      abort.abort();
    },
  );
  await t.throwsAsync(failing);
  await t.notThrowsAsync(closed ?? Promise.reject(new Error('not called')));
});

// Guards against blaming a version for a runner that died.
test('a stream without framing that ends with its connection is an error of the call', async (t) => {
  const failing = readEvents((_request, response) => {
    response.removeHeader('transfer-encoding');
    response.removeHeader('content-length');
    response.end(`${token}data: {"type":"to`);
  });
  await t.throwsAsync(failing, { code: 'call-failed' });
});

// Guards against buffering an event that an engine never ends.
test('an event without end is an error before the engine stops sending', async (t) => {
  t.timeout(20_000);
  const block = 'x'.repeat(64 * 1024);
  const reading = readEvents((request, response) => {
    request.resume();
    response.write(`${token}data: `);
    const timer = setInterval(() => response.write(block), 1);
    response.on('close', () => {
      clearInterval(timer);
    });
  });
  await t.throwsAsync(reading, { message: /too long/ });
});
