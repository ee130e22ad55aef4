import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Relay } from '@ragwortrudder/standins';
import { call } from './call.ts';

/** Starts an echo server that records the data it receives. */
async function startEcho(t: ExecutionContext) {
  const received: string[] = [];
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received.push(chunk.toString());
      socket.write(chunk);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return { received, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function startRelay(t: ExecutionContext) {
  const echo = await startEcho(t);
  const relay = new Relay([{ name: 'link', target: echo.address }]);
  await relay.listen();
  t.teardown(() => relay.close());
  return { relay, echo, port: relay.links()[0]?.port ?? 0 };
}

async function open(t: ExecutionContext, port: number) {
  const socket = connect(port, '127.0.0.1');
  const replies: string[] = [];
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => replies.push(chunk.toString()));
  t.teardown(() => socket.destroy());
  await new Promise((resolve) => socket.once('connect', resolve));
  return { socket, replies };
}

async function waitUntilClosed(socket: Socket): Promise<void> {
  if (!socket.closed) await new Promise((resolve) => socket.once('close', resolve));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

function lostBytes(relay: Relay): number {
  return relay.links()[0]?.lostBytes ?? 0;
}

/** Sends a text over a new connection and returns its echo. */
async function roundTrip(t: ExecutionContext, port: number, text: string): Promise<string> {
  const { socket, replies } = await open(t, port);
  socket.write(text);
  await waitUntil(() => replies.length > 0);
  return replies.join('');
}

test('open: forwards both directions and the end of a connection', async (t) => {
  const { port } = await startRelay(t);
  const { socket, replies } = await open(t, port);
  socket.write('hello');
  await waitUntil(() => replies.length > 0);
  t.deepEqual(replies, ['hello']);
  socket.end();
  await waitUntilClosed(socket);
});

test('cut: destroys open connections and refuses new ones until the link is reopened', async (t) => {
  const { relay, port } = await startRelay(t);
  const { socket } = await open(t, port);
  await relay.setFault({ name: 'link', mode: 'cut' });
  await waitUntilClosed(socket);
  const refused = connect(port, '127.0.0.1');
  const error = await new Promise<NodeJS.ErrnoException>((resolve) =>
    refused.once('error', resolve),
  );
  t.is(error.code, 'ECONNREFUSED');
  await relay.setFault({ name: 'link', mode: 'open' });
  t.is(await roundTrip(t, port, 'again'), 'again');
});

test('silent: open connections freeze permanently and new ones work', async (t) => {
  const { relay, echo, port } = await startRelay(t);
  const old = await open(t, port);
  old.socket.write('before');
  await waitUntil(() => old.replies.length > 0);
  await relay.setFault({ name: 'link', mode: 'silent' });
  old.socket.write('lost');
  t.is(await roundTrip(t, port, 'fresh'), 'fresh');
  await relay.setFault({ name: 'link', mode: 'open' });
  old.socket.write('lost too');
  t.is(await roundTrip(t, port, 'fresh again'), 'fresh again');
  t.deepEqual(old.replies, ['before']);
  t.deepEqual(echo.received, ['before', 'fresh', 'fresh again']);
  t.false(old.socket.closed);
});

test('one-way-request-only: requests arrive and replies are dropped', async (t) => {
  const { relay, echo, port } = await startRelay(t);
  await relay.setFault({ name: 'link', mode: 'one-way-request-only' });
  const { socket, replies } = await open(t, port);
  socket.write('hello');
  await waitUntil(() => lostBytes(relay) === 'hello'.length);
  t.deepEqual(echo.received, ['hello']);
  await relay.setFault({ name: 'link', mode: 'open' });
  t.is(await roundTrip(t, port, 'fresh'), 'fresh');
  t.deepEqual(echo.received, ['hello', 'fresh']);
  t.deepEqual(replies, []);
});

test('one-way-reply-only: requests are dropped', async (t) => {
  const { relay, echo, port } = await startRelay(t);
  await relay.setFault({ name: 'link', mode: 'one-way-reply-only' });
  const { socket } = await open(t, port);
  socket.write('lost');
  await waitUntil(() => lostBytes(relay) === 'lost'.length);
  await relay.setFault({ name: 'link', mode: 'open' });
  t.is(await roundTrip(t, port, 'fresh'), 'fresh');
  t.false(echo.received.includes('lost'));
});

test('delay: chunks arrive later than on a link without delay, in order and before the end of the stream', async (t) => {
  const slowLink = await startRelay(t);
  const fastLink = await startRelay(t);
  await slowLink.relay.setFault({ name: 'link', mode: 'open', delayMs: 500 });
  const slow = await open(t, slowLink.port);
  slow.socket.write('one ');
  slow.socket.end('two');
  t.is(await roundTrip(t, fastLink.port, 'fast'), 'fast');
  t.deepEqual(slowLink.echo.received, []);
  await waitUntilClosed(slow.socket);
  t.is(slow.replies.join(''), 'one two');
});

test('control: sets the mode of links by name or of all links with *, and rejects unknown names', async (t) => {
  const { relay } = await startRelay(t);
  const url = `127.0.0.1:${relay.port}/control/links`;
  const cut = await call(url, { json: { faults: [{ name: '*', mode: 'cut' }] } });
  t.like(cut.body, { links: [{ name: 'link', mode: 'cut' }] });
  t.is((await call(url, { json: { faults: [{ name: 'other', mode: 'cut' }] } })).status, 404);
  t.is((await call(url, { json: { faults: [{ name: 'link', mode: 'no' }] } })).status, 400);
});

test('bytes stay in order when a delay is removed', async (t) => {
  const { relay, echo, port } = await startRelay(t);
  const { socket } = await open(t, port);
  socket.setNoDelay(true);
  let expected = '';
  for (let round = 0; round < 40; round += 1) {
    await relay.setFault({ name: 'link', mode: 'open', delayMs: round % 2 === 0 ? 3 : 0 });
    const text = `${round};`;
    expected += text;
    socket.write(text);
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await waitUntil(() => echo.received.join('').length === expected.length);
  t.is(echo.received.join(''), expected);
});

// Guards against a relay that makes a cut response look complete.
test('open: forwards a reset as a reset', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('part', () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const relay = new Relay([{ name: 'link', target }]);
  await relay.listen();
  t.teardown(() => relay.close());
  for (let index = 0; index < 10; index += 1) {
    const { socket } = await open(t, relay.links()[0]?.port ?? 0);
    const wasReset = new Promise<boolean>((resolve) => {
      socket.once('error', () => {
        resolve(true);
      });
      // Data and a reset that arrive together are read as an end, after which the address is gone.
      socket.once('end', () => {
        resolve(socket.remoteAddress === undefined);
      });
    });
    socket.write('request');
    t.true(await wasReset);
  }
});

test('a paused link forwards nothing, on open and new connections, and loses nothing', async (t) => {
  const { relay, echo, port } = await startRelay(t);
  const before = await open(t, port);
  await relay.setFault({ name: 'link', mode: 'paused' });
  const during = await open(t, port);
  before.socket.write('old');
  during.socket.write('new');
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.deepEqual(echo.received, []);
  await relay.setFault({ name: 'link', mode: 'open' });
  await waitUntil(() => before.replies.length > 0 && during.replies.length > 0);
  t.is(before.replies.join(''), 'old');
  t.is(during.replies.join(''), 'new');
  t.is(lostBytes(relay), 0);
});

// Guards against a relay that listens twice on its port when faults of one link end at the same time.
test('changes of a link at the same time are made one after another', async (t) => {
  const { relay, port } = await startRelay(t);
  for (let round = 0; round < 5; round += 1) {
    const modes = ['cut', 'open', 'dark', 'open', 'refuse-new', 'paused', 'open'] as const;
    await Promise.all(modes.map((mode) => relay.setFault({ name: 'link', mode })));
  }
  t.is(await roundTrip(t, port, 'still'), 'still');
});
