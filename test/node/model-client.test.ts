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

async function listen(
  listener: RequestListener,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function read(
  listener: RequestListener,
  onEvent: (event: EngineEvent, stop: AbortController) => void = () => undefined,
): Promise<readonly EngineEvent[]> {
  const { server, address } = await listen(listener);
  const client = new ModelClient(settings);
  const stop = new AbortController();
  const events: EngineEvent[] = [];
  try {
    for await (const event of client.generate(address, generation, stop.signal)) {
      events.push(event);
      onEvent(event, stop);
    }
    return events;
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

test('events are read from pieces of any size', async (t) => {
  const events = await read((request, response) => {
    request.resume();
    response.write(token.slice(0, 20));
    setTimeout(() => response.end(`${token.slice(20)}${token}`), 10);
  });
  t.deepEqual(
    events.map(({ type }) => type),
    ['token', 'token'],
  );
});

test('a refusal tells its status', async (t) => {
  const failing = read((_request, response) => response.writeHead(503).end());
  await t.throwsAsync(failing, { message: /status code 503/ });
});

test('a stream that breaks off, before its answer or within it, fails', async (t) => {
  await t.throwsAsync(read((request) => request.socket.destroy()));
  await t.throwsAsync(
    read((_request, response) => response.write(token, () => response.destroy())),
  );
});

test('a reader that aborts ends the stream at the engine', async (t) => {
  let closed: Promise<void> | undefined;
  const failing = read(
    (_request, response) => {
      closed = new Promise((resolve) => response.once('close', resolve));
      response.write(token);
    },
    (_event, stop) => {
      stop.abort();
    },
  );
  await t.throwsAsync(failing);
  await t.notThrowsAsync(closed ?? Promise.reject(new Error('not called')));
});
