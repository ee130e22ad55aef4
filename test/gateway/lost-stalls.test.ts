import { setTimeout as sleep } from 'node:timers/promises';
import { request as sendRequest } from 'node:http';
import { Worker } from 'node:worker_threads';
import test from 'ava';
import { probeConnection } from '../../packages/gateway/src/node/probe-connection.ts';
import { RunnerAgent } from '../../packages/gateway/src/node/runner-agent.ts';
import { CONNECT_TIMEOUT_MS } from '../../packages/gateway/src/utils/connect-timeout-ms.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

/** Runner with a thread of its own, which sends an event every 50 ms whatever the node's thread does. */
const RUNNER = `
const { createServer } = require('node:net');
const { parentPort } = require('node:worker_threads');
const server = createServer((socket) => {
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    const head = bytes.toString('latin1');
    const id = /request-id: (\\S+)/i.exec(head)?.[1];
    if (!id) return;
    parentPort.postMessage({ id });
    let next = Number(/last-event-id: (\\d+)/i.exec(head)?.[1] ?? 0) + 1;
    socket.write('HTTP/1.1 200 OK\\r\\nRequest-Id: ' + id + '\\r\\nResponse-Signature: s.1\\r\\nContent-Type: text/event-stream\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n');
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer);
      const text = 'id: ' + next + '\\ndata: piece\\n\\n';
      socket.write(text.length.toString(16) + '\\r\\n' + text + '\\r\\n');
      next += 1;
      if (next <= 140) return;
      clearInterval(timer);
      socket.write('0\\r\\n\\r\\n');
    }, 50);
  });
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage({ port: server.address().port }));
`;
/** Longer than the time in which a connection has to be open. */
const SHORT_STALL_MS = 500;
/** Longer than the silence after which a stream is resumed elsewhere. */
const STALL_MS = 1_500;
const STALLS = 3;
const IDLE_LIMIT_MS = 1_000;
/** Time between stalls; no multiple of the period with which runners are checked. */
const INTERVAL_MS = 330;
/** Long enough for the rest of the events. */
const END_MS = 2_500;

interface Message {
  readonly port?: number;
}

/** Blocks the thread of the test, and with it the node. */
function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

// Guards against a node that takes a stall of its own for the silence of runners.
test.serial('streams go on at their runners after the node itself has stalled', async (t) => {
  const harness = await GatewayHarness.start(t, {
    route: { kind: 'streaming', stream_resume: true, gap_target_ms: 100, timeout_ms: 10_000 },
    isEmpty: true,
  });
  await harness.configure({});
  for (const id of ['r0', 'r1', 'r2']) {
    const worker = new Worker(RUNNER, { eval: true });
    t.teardown(() => worker.terminate());
    const { port = 0 } = await new Promise<Message>((resolve) => worker.once('message', resolve));
    await harness.registerRunner(id, port);
  }
  await harness.waitUntil(() => harness.isReady());
  await harness.waitUntil(() =>
    harness.lines.some((line) => /"runner-entered","runner":"r2"|"runners":3/.test(line)),
  );
  const callers = Array.from({ length: 12 }, () => new RawCaller(harness.gateway.ports.callers));
  for (const [index, caller] of callers.entries()) {
    t.teardown(() => caller.socket.destroy());
    caller.send(requestText({ id: `q${index}` }));
  }
  await sleep(1_000);
  for (let count = 0; count < STALLS; count += 1) {
    stall(STALL_MS);
    await sleep(INTERVAL_MS);
  }
  await harness.waitUntil(() => callers.every(({ responses }) => responses.length > 0));
  await sleep(END_MS);
  t.true(callers.every(({ received }) => received.endsWith('0\r\n\r\n')));
  t.deepEqual(
    harness.lines.filter((line) => line.includes('"attempt-ended"')),
    [],
  );
});

// Guards against a node that takes a stall of its own for a connection that cannot be opened.
test.serial('a connection that was opened while the node stalled is used', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  const agent = new RunnerAgent({ maxSockets: Infinity });
  t.teardown(async () => {
    agent.destroy();
    await runner.close();
  });
  const status = new Promise((resolve) => {
    const client = sendRequest({ host: '127.0.0.1', port: runner.port, agent });
    client.on('response', ({ statusCode }) => {
      resolve(statusCode);
    });
    client.on('error', resolve);
    client.end();
    setImmediate(stall, SHORT_STALL_MS);
  });
  t.is(await status, 200);
});

// Guards against a node that takes a stall of its own for a lost link, and rejects requests for it.
test.serial('a link that was probed while the node stalled is not lost', async (t) => {
  const runner = await new ScriptedRunner(() => undefined).listen();
  t.teardown(() => runner.close());
  const failure = await new Promise((resolve) => {
    setImmediate(() => {
      resolve(probeConnection({ host: '127.0.0.1', port: runner.port }, CONNECT_TIMEOUT_MS));
      process.nextTick(() => {
        process.nextTick(stall, SHORT_STALL_MS);
      });
    });
  });
  t.is(failure, undefined);
});

// Guards against the end of an idle connection on which a request has arrived.
test.serial(
  'a request that arrived while the node stalled across the idle limit is answered',
  async (t) => {
    const runner = await new ScriptedRunner((socket, request) => {
      socket.write(responseTo(request, 'ok'));
    }).listen();
    const harness = await GatewayHarness.start(t, { runners: [runner], isEmpty: true });
    await harness.configure({
      limits: {
        max_header_bytes: 8_192,
        max_body_bytes: 100_000,
        header_timeout_ms: 2_000,
        idle_timeout_ms: IDLE_LIMIT_MS,
      },
    });
    await harness.waitUntil(() => harness.isReady());
    const caller = new RawCaller(harness.gateway.ports.callers);
    t.teardown(() => caller.socket.destroy());
    caller.send(requestText({ id: 'a' }));
    while (caller.responses.length === 0) await sleep(5);
    await sleep(IDLE_LIMIT_MS);
    caller.send(requestText({ id: 'b' }));
    stall(STALL_MS);
    await Promise.race([caller.closed, sleep(500)]);
    t.deepEqual(caller.responses, ['200 a', '200 b']);
  },
);
