import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { EndlessWriter } from '@ragwortrudder/soak';

const BLOCK = Buffer.alloc(16 * 1024, 'x');
const MAX_BYTES_PER_S = 17_500_000;

/** Opens connections whose servers write without end; `onClient` gets the other ends. */
async function startWriter(
  t: ExecutionContext,
  count: number,
  onClient: (socket: Socket) => void,
): Promise<{ readonly writer: EndlessWriter; readonly served: readonly Socket[] }> {
  const writer = new EndlessWriter();
  const served: Socket[] = [];
  const server = createServer((socket) => {
    served.push(socket);
    writer.write(socket, { head: 'head ', block: BLOCK });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const clients = Array.from({ length: count }, () => {
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.on('error', () => undefined);
    onClient(client);
    return client;
  });
  t.teardown(async () => {
    await writer.close();
    for (const client of clients) client.destroy();
    server.close();
  });
  while (writer.connections < count) await sleep(5);
  return { writer, served };
}

test('all connections share the rate of the link of a VM, by turns', async (t) => {
  const received = new Map<Socket, number>();
  const startedAt = performance.now();
  await startWriter(t, 4, (client) => {
    client.on('data', (bytes) => received.set(client, (received.get(client) ?? 0) + bytes.length));
  });
  await sleep(600);
  const seconds = (performance.now() - startedAt) / 1_000;
  const counts = [...received.values()];
  const total = counts.reduce((sum, bytes) => sum + bytes, 0);
  t.is(counts.length, 4);
  t.true(total <= MAX_BYTES_PER_S * seconds + 4 * BLOCK.length, String(total));
  t.true(Math.min(...counts) > Math.max(...counts) / 2, counts.join(', '));
});

test('a connection whose peer does not read holds little, and one that closes is left alone', async (t) => {
  const clients: Socket[] = [];
  const { writer, served } = await startWriter(t, 2, (client) => {
    clients.push(client.pause());
  });
  // The buffers of the operating system fill up first.
  while (served.some(({ writableNeedDrain }) => !writableNeedDrain)) await sleep(5);
  await sleep(100);
  for (const { writableLength } of served) t.true(writableLength <= 2 * BLOCK.length);
  t.is(writer.connections, 2);
  clients[0]?.destroy();
  while (writer.connections > 1) await sleep(5);
  t.pass();
});

test('closing ends all connections', async (t) => {
  const ends: Promise<void>[] = [];
  const { writer } = await startWriter(t, 3, (client) => {
    client.resume();
    ends.push(
      new Promise((resolve) =>
        client.once('close', () => {
          resolve();
        }),
      ),
    );
  });
  await writer.close();
  await Promise.all(ends);
  t.is(writer.connections, 0);
});
