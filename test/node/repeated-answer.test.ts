import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Settings } from '@ragwortrudder/settings';
import { ApplicationClient } from '../../packages/node/src/node/runners/application-client.ts';
import { ModelClient } from '../../packages/node/src/node/runners/model-client.ts';
import { EngineClient } from '../../packages/node/src/node/supply/engine-client.ts';

const settings = { requests: { runnerConnectMs: 1000 } } as unknown as Settings;

function responseOf(status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Starts a runner that writes its first response once more before the next one on the same connection. */
async function startRepeatingRunner(
  t: ExecutionContext,
  responses: readonly string[],
): Promise<string> {
  let count = 0;
  const server = createServer((socket) => {
    let earlier = '';
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      // The head and the body of a request may arrive apart.
      if (!bytes.toString().includes('}')) return;
      const response = responses[count] ?? '';
      count += 1;
      socket.write(earlier);
      setTimeout(() => socket.write(response), 10);
      earlier = response;
    });
    t.teardown(() => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against the answer to an earlier operation that is taken for that to the next one.
test('a repeated answer is not that to the next operation', async (t) => {
  const endpoint = await startRepeatingRunner(t, [
    responseOf('503 Full', '{"notRun":true}'),
    responseOf('200 OK', '{"result":1}'),
    responseOf('200 OK', '{"result":2}'),
  ]);
  const client = new ApplicationClient(settings);
  t.teardown(() => client.close());
  const outcomes: unknown[] = [];
  for (const key of ['a', 'b', 'c']) {
    outcomes.push(
      await client.call({
        endpoint,
        key,
        operation: 'reorder',
        payload: {},
        timeoutMs: 2_000,
        signal: new AbortController().signal,
      }),
    );
  }
  t.like(outcomes[0], { kind: 'not-run' });
  t.like(outcomes[1], { kind: 'completed', result: 1 });
  t.like(outcomes[2], { kind: 'completed', result: 2 });
});

// Guards against the tokens of an earlier generation that are taken for those of the next one.
test('a repeated stream is not that of the next generation', async (t) => {
  const streamOf = (text: string): string =>
    responseOf('200 OK', `data: {"type":"token","index":0,"text":"${text}"}\n\n`);
  const endpoint = await startRepeatingRunner(t, ['a', 'b'].map(streamOf));
  const client = new ModelClient(settings);
  t.teardown(() => client.close());
  const texts: string[] = [];
  for (const requestId of ['a', 'b']) {
    const generation = { requestId, prompt: 'p', generated: [], maxTokens: 1, priority: 0 };
    for await (const event of client.generate(endpoint, generation, new AbortController().signal)) {
      if (event.type === 'token') texts.push(event.text);
    }
  }
  t.deepEqual(texts, ['a', 'b']);
});

// Guards against the reply to an earlier order that acknowledges the next one.
test('a repeated reply does not acknowledge the next order', async (t) => {
  const endpoint = await startRepeatingRunner(t, [
    responseOf('200 OK', '{}'),
    responseOf('409 Conflict', '{}'),
  ]);
  const client = new EngineClient();
  t.teardown(() => client.close());
  const order = {} as unknown as Parameters<EngineClient['order']>[1];
  t.is((await client.order(endpoint, order)).kind, 'done');
  t.is((await client.order(endpoint, order)).kind, 'old-fence');
});
