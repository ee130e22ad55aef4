import { readEventSource } from '../../packages/client/src/node/event-source.ts';
import { NodeHttpClient } from '../../packages/client/src/node/node-http-client.ts';
import { measureCalls } from '../core/measure-calls.ts';

const CALLS = 16;
const TIMEOUT_MS = 1_000;
const [, , port = '', target = ''] = process.argv;
const node = `127.0.0.1:${port}`;
const http = new NodeHttpClient({ nodes: [node], key: 'k' });

async function readStream(): Promise<void> {
  const events = readEventSource({
    ...{ node, path: '/x', method: 'GET', headers: {} },
    ...{ connectMs: TIMEOUT_MS, idleTimeoutMs: TIMEOUT_MS },
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  for await (const event of events) if (event.type === 'done') return;
}

await measureCalls({
  count: CALLS,
  call: () =>
    target === 'a stream'
      ? readStream()
      : http.call({ method: 'GET', path: '/x', timeoutMs: TIMEOUT_MS }),
  soundCall: () => http.call({ method: 'GET', path: '/sound', timeoutMs: 2 * TIMEOUT_MS }),
});
