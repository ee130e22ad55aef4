import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { CallFailed } from '../../packages/node/src/errors/call-failed.ts';
import { JsonClient } from '../../packages/node/src/node/http/json-client.ts';

async function withServer(
  listener: RequestListener,
  use: (address: string, client: JsonClient) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new JsonClient({ maxSockets: 1, maxResponseBytes: 100 });
  try {
    await use(`127.0.0.1:${port}`, client);
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

const call = { path: '/x', timeoutMs: 5000 };

test('calls reuse one connection and send the key and the body', async (t) => {
  const ports = new Set<number | undefined>();
  const received: string[] = [];
  await withServer(
    (request, response) => {
      ports.add(request.socket.remotePort);
      request.setEncoding('utf8');
      request.on('data', (text: string) =>
        received.push(`${request.headers.authorization} ${text}`),
      );
      request.on('end', () => response.end(request.method));
    },
    async (address, client) => {
      t.is(await client.call({ ...call, address, key: 'k', body: '{"ü":1}' }), 'POST');
      t.is(await client.call({ ...call, address }), 'GET');
    },
  );
  t.deepEqual(received, ['Bearer k {"ü":1}']);
  t.is(ports.size, 1);
});

test('a response that is late, incomplete, too large or not successful is a failure', async (t) => {
  const answers: readonly RequestListener[] = [
    () => undefined,
    (_request, response) => {
      response.writeHead(200, { 'content-length': 10 });
      response.write('12345', () => response.destroy());
    },
    (_request, response) => response.end('x'.repeat(101)),
    (_request, response) => response.writeHead(401).end(),
  ];
  for (const answer of answers) {
    await withServer(answer, async (address, client) => {
      const failing = client.call({ ...call, address, timeoutMs: 200 });
      await t.throwsAsync(failing, { instanceOf: CallFailed });
    });
  }
});

test('a failed call releases its connection for the next one', async (t) => {
  let calls = 0;
  await withServer(
    (_request, response) => {
      calls += 1;
      if (calls > 1) response.end('ok');
    },
    async (address, client) => {
      await t.throwsAsync(client.call({ ...call, address, timeoutMs: 100 }));
      t.is(await client.call({ ...call, address }), 'ok');
    },
  );
});

test('a refused connection is a failure', async (t) => {
  const client = new JsonClient({ maxSockets: 1 });
  const failing = client.call({ ...call, address: '127.0.0.1:1' });
  await t.throwsAsync(failing, { instanceOf: CallFailed });
  await client.close();
});
