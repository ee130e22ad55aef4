import { Agent, createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer as createSocketServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { CallFailure, callHttp } from '@ragwortrudder/core';
import type { HttpCall } from '@ragwortrudder/core';

const OK = 200;
const LIMITS = { timeoutMs: 5_000, maxBodyBytes: 100_000 };

async function listen(t: ExecutionContext, server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}/x`;
}

function serve(t: ExecutionContext, listener: RequestListener): Promise<string> {
  return listen(t, createServer(listener));
}

/** Answers each request with fixed bytes, and ends the connection if asked to. */
function serveBytes(t: ExecutionContext, bytes: string, isEnded = false): Promise<string> {
  const server = createSocketServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(bytes);
      if (isEnded) socket.end();
    });
    t.teardown(() => socket.destroy());
  });
  return listen(t, server);
}

async function failureOf(call: HttpCall): Promise<CallFailure> {
  try {
    await callHttp(call);
  } catch (error) {
    if (error instanceof CallFailure) return error;
    throw error;
  }
  throw new TypeError('call did not fail');
}

// Guards against a bound on endless chunks that rejects legal ones.
test('a body in chunks of 1 byte arrives', async (t) => {
  const body = 'y'.repeat(LIMITS.maxBodyBytes);
  const chunks = '1\r\ny\r\n'.repeat(body.length);
  const url = await serveBytes(
    t,
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
  );
  const reply = await callHttp({ ...LIMITS, url });
  t.is(reply.status, OK);
  t.is(reply.body.toString(), body);
});

test('a call sends its method, headers and body, and returns status, headers and body', async (t) => {
  const url = await serve(t, (request, response) => {
    let body = '';
    request.on('data', (bytes: Buffer) => {
      body += bytes.toString();
    });
    request.on('end', () => {
      response.writeHead(418, { 'x-reply': 'r' });
      response.end(
        `${request.method} ${String(request.headers['x-call'])} ${request.headers['content-length']} ${body}`,
      );
    });
  });
  const reply = await callHttp({
    ...LIMITS,
    url,
    method: 'POST',
    headers: { 'X-Call': 'c' },
    body: 'ü',
  });
  t.is(reply.status, 418);
  t.is(reply.headers['x-reply'], 'r');
  t.is(reply.body.toString(), 'POST c 2 ü');
});

test('calls one after the other use one connection of their agent', async (t) => {
  const ports = new Set<number | undefined>();
  const url = await serve(t, (request, response) => {
    ports.add(request.socket.remotePort);
    response.end('ok');
  });
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => {
    agent.destroy();
  });
  for (let index = 0; index < 20; index += 1) await callHttp({ ...LIMITS, url, agent });
  t.is(ports.size, 1);
});

test('a body that is too large, cut, late, or never begins fails the call', async (t) => {
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345';
  const large = await serve(t, (_request, response) => {
    response.end('x'.repeat(LIMITS.maxBodyBytes + 1));
  });
  t.is((await failureOf({ ...LIMITS, url: large })).reason, 'body-too-large');
  const cut = await failureOf({ ...LIMITS, url: await serveBytes(t, head, true) });
  t.is(cut.reason, 'ECONNRESET');
  t.false(cut.notRun);
  const late = { ...LIMITS, timeoutMs: 100 };
  for (const bytes of [head, '']) {
    const failure = await failureOf({ ...late, url: await serveBytes(t, bytes) });
    t.is(failure.reason, 'timeout');
    t.true(failure.isTimeout);
    t.false(failure.notRun);
  }
});

// Guards against a call that never ends: nothing else is reported after a switch of protocols.
test('a response that switches protocols fails the call', async (t) => {
  const url = await serveBytes(
    t,
    'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
  );
  t.false((await failureOf({ ...LIMITS, url })).notRun);
});

test('a call that reaches nobody is known not to have run', async (t) => {
  const url = await serve(t, () => undefined);
  const closed = createSocketServer();
  const unused = await listen(t, closed);
  await new Promise((resolve) => closed.close(resolve));
  t.true((await failureOf({ ...LIMITS, url: unused })).notRun);
  const call = { ...LIMITS, url, signal: AbortSignal.timeout(50) };
  t.false((await failureOf(call)).notRun);
});

// Guards against sending a call again, as one that was not run, whose connection was lost after it had arrived.
test('a call whose open connection is lost may have run, whatever the code of the error', async (t) => {
  const sockets: Socket[] = [];
  const agent = new Agent();
  const createConnection = agent.createConnection.bind(agent);
  agent.createConnection = (...args) => {
    const socket = createConnection(...args);
    if (socket instanceof Socket) sockets.push(socket);
    return socket;
  };
  const url = await serve(t, () => {
    const error = new Error('read EHOSTUNREACH');
    sockets[0]?.destroy(Object.assign(error, { code: 'EHOSTUNREACH', syscall: 'read' }));
  });
  const error = await t.throwsAsync(
    callHttp({ url, method: 'POST', body: 'x', agent, ...LIMITS }),
    {
      instanceOf: CallFailure,
    },
  );
  t.false(error.notRun);
});
