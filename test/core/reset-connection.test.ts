import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { resetConnection } from '@ragwortrudder/core';

const HOST = '127.0.0.1';

interface Connection {
  readonly caller: Socket;
  readonly socket: Socket;
}

async function open(t: ExecutionContext): Promise<Connection> {
  const server = createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const caller = connect((server.address() as AddressInfo).port, HOST);
  t.teardown(() => caller.destroy());
  caller.resume();
  const [socket] = (await once(server, 'connection')) as [Socket];
  return { caller, socket };
}

// Guards against a connection that stays open for good, so that its process cannot end.
test('a connection whose end is being sent is closed by a reset', async (t) => {
  const { caller, socket } = await open(t);
  caller.on('error', () => undefined);
  const closed = once(socket, 'close');
  socket.end('x');
  resetConnection(socket);
  await closed;
  t.true(socket.destroyed);
});

test('an open connection is reset at once', async (t) => {
  const { caller, socket } = await open(t);
  const failed = once(caller, 'error');
  resetConnection(socket);
  const [error] = (await failed) as [NodeJS.ErrnoException];
  t.is(error.code, 'ECONNRESET');
});
