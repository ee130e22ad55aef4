import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { LogUnavailable } from '@ragwortrudder/log';
import { Relay } from '@ragwortrudder/standins';
import { PlatformHttpClient } from '../../platform/src/node/platform-http-client.ts';

/** Time of a call to a store that answers. */
const ANSWERED_MS = 500;
const CONNECTIONS = 4;
const OK = 200;

// Guards against calls that try one silent connection after the other, so that a node hears late of
// runners that drain (DRAIN).
test('pattern: connections to the store go silent for good; after one call without a reply the next ones are answered', async (t) => {
  const server = createServer((_request, response) => {
    setTimeout(() => response.end('ok'), 50);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const relay = new Relay([{ name: 'store', target: `127.0.0.1:${port}` }]);
  await relay.listen();
  const client = new PlatformHttpClient(`127.0.0.1:${relay.links()[0]?.port ?? 0}`);
  t.teardown(async () => {
    await client.close();
    await relay.close();
    server.close();
  });
  const call = (): ReturnType<PlatformHttpClient['call']> =>
    client.call({ method: 'GET', path: 'x' });
  await Promise.all(Array.from({ length: CONNECTIONS }, call));
  await relay.setFault({ name: 'store', mode: 'silent' });
  await t.throwsAsync(call(), { instanceOf: LogUnavailable });
  for (let index = 0; index < CONNECTIONS; index += 1) {
    const startedAt = performance.now();
    const { status } = await call();
    t.is(status, OK);
    t.true(performance.now() - startedAt < ANSWERED_MS);
  }
});
