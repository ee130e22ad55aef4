import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { Refusal } from '../../packages/gateway/src/errors/refusal.ts';
import { CallerChannel } from '../../packages/gateway/src/node/caller-channel.ts';
import { PlatformDialect } from '@ragwortrudder/platform-adapter';

const HOST = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';

// Guards against a caller's connection that is never closed, so that a node that stops cannot end (LOST).
test('the abort of a response closes a connection whose end is being sent', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const caller = connect((server.address() as AddressInfo).port, HOST);
  caller.on('error', () => undefined);
  caller.resume();
  caller.write(REQUEST);
  const closed = new Promise<void>((resolve) => {
    server.once('request', ({ socket }, response) => {
      socket.once('close', () => {
        resolve();
      });
      const channel = new CallerChannel({
        response,
        method: 'GET',
        dialect: new PlatformDialect(),
        isStopping: () => false,
      });
      response.writeHead(200, { 'Content-Length': 10 });
      response.write('part', () => {
        socket.end();
        channel.fail(new Refusal('runner-broken', { status: 502 }), 'a');
      });
    });
  });
  await closed;
  server.close();
  await once(server, 'close');
  t.pass();
});
