import { request as sendRequest } from 'node:http';
import type { Socket } from 'node:net';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor, responseTo, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const BLOCK_BYTES = 64 * 1024;
const MB = 1024 * 1024;
const CALLS = 32;
/** Growth of the process for `CALLS` endless responses: the buffers of the node and of the sockets. */
const MAX_GROWTH_BYTES = 200 * MB;
const TIMEOUT_MS = 8_000;
/** Time within which other requests are answered beside endless responses. */
const SOUND_TIMEOUT_MS = 2_000;
/** Kinds that are valid for as long as they last, so that only the timeout of the route ends them. */
const LASTING: ReadonlySet<string> = new Set(['interim responses', 'events of a stream']);

interface Outcome {
  readonly status: number;
  readonly isComplete: boolean;
}

/** Sends a request and discards the body of its response, which is no memory of the node. */
function callAndDiscard({ gateway }: GatewayHarness, id: string): Promise<Outcome> {
  return new Promise((resolve) => {
    const client = sendRequest({
      host: '127.0.0.1',
      port: gateway.ports.callers,
      method: 'POST',
      path: '/p/x',
      agent: false,
      headers: {
        Host: 'a.example',
        'Request-Id': id,
        'X-Api-Key': 'key',
        'Deadline-Ms': String(TIMEOUT_MS),
        'Content-Length': '0',
      },
    });
    client.on('error', () => {
      resolve({ status: 0, isComplete: false });
    });
    client.on('response', (response) => {
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve({ status: response.statusCode ?? 0, isComplete: response.complete });
      });
      response.resume();
    });
    client.end();
  });
}

/** Writes blocks until the node closes the connection. */
function writeEndlessly(socket: Socket, block: string): void {
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

const KINDS: Readonly<Record<string, (request: ReceivedRequest) => readonly [string, string]>> = {
  'a head': (request) => [
    `HTTP/1.1 200 OK\r\nRequest-Id: ${request.id}\r\n`,
    `X-Filler: ${'x'.repeat(1_000)}\r\n`,
  ],
  'the name of a header': () => ['HTTP/1.1 200 OK\r\n', 'x'.repeat(BLOCK_BYTES)],
  'interim responses': () => ['', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)],
  'a body in chunks': (request) => [
    headFor(request, { framing: ['Transfer-Encoding: chunked'] }),
    `10000\r\n${'x'.repeat(BLOCK_BYTES)}\r\n`,
  ],
  'a body without framing': (request) => [headFor(request), 'x'.repeat(BLOCK_BYTES)],
  'a body with a huge length': (request) => [
    headFor(request, { framing: ['Content-Length: 1000000000000'] }),
    'x'.repeat(BLOCK_BYTES),
  ],
  'a line of a stream': (request) => [
    `${streamHeadFor(request, ['Connection: close'])}data: `,
    'x'.repeat(BLOCK_BYTES),
  ],
  'an event of a stream': (request) => [
    streamHeadFor(request, ['Connection: close']),
    'data: x\n'.repeat(8_000),
  ],
  'comments of a stream': (request) => [
    streamHeadFor(request, ['Connection: close']),
    ': x\n'.repeat(16_000),
  ],
  'events of a stream': (request) => [
    streamHeadFor(request, ['Connection: close']),
    'data: x\n\n'.repeat(4_000),
  ],
};

// Guards against a runner whose bytes never end: memory stays bounded and every caller is answered.
for (const [kind, bytesOf] of Object.entries(KINDS)) {
  test.serial(`a runner that sends ${kind} without end`, async (t) => {
    t.timeout(60_000);
    const endless = await new ScriptedRunner((socket, request) => {
      const [head, block] = bytesOf(request);
      socket.write(head);
      writeEndlessly(socket, block);
    }).listen();
    const isStream = kind.includes('stream');
    const harness = await GatewayHarness.start(t, {
      runners: [endless],
      route: {
        kind: isStream ? 'streaming' : 'idempotent',
        max_attempts: 1,
        timeout_ms: TIMEOUT_MS,
      },
    });
    const before = process.memoryUsage().rss;
    let peak = before;
    const timer = setInterval(() => {
      peak = Math.max(peak, process.memoryUsage().rss);
    }, 10);
    const startedAt = performance.now();
    const replies = await Promise.all(
      Array.from({ length: CALLS }, (_item, index) => callAndDiscard(harness, `q${index}`)),
    );
    clearInterval(timer);
    const tookMs = performance.now() - startedAt;
    t.true(replies.every(({ status, isComplete }) => status !== 200 || !isComplete));
    const maxMs = LASTING.has(kind) ? TIMEOUT_MS + 2_000 : TIMEOUT_MS - 1_000;
    t.true(tookMs < maxMs, `answered after ${Math.round(tookMs)} ms`);
    t.true(peak - before < MAX_GROWTH_BYTES, `${Math.round((peak - before) / MB)} MB more`);
  });
}

// Guards against other requests that wait, or are rejected, beside endless responses.
test.serial('a node serves other requests beside a runner whose bytes never end', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    if (!request.head.includes('/endless')) {
      socket.write(responseTo(request, 'whole'));
      return;
    }
    socket.write(headFor(request));
    writeEndlessly(socket, 'x'.repeat(BLOCK_BYTES));
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    route: { max_attempts: 1, timeout_ms: TIMEOUT_MS },
  });
  const endlessHeaders = { 'Deadline-Ms': String(TIMEOUT_MS) };
  const endless = Promise.all(
    Array.from({ length: CALLS }, () => {
      return harness.call({ path: '/p/endless', headers: endlessHeaders });
    }),
  );
  const soundHeaders = { 'Deadline-Ms': String(SOUND_TIMEOUT_MS) };
  const sound = await Promise.all(
    Array.from({ length: CALLS }, () => harness.call({ headers: soundHeaders })),
  );
  t.true(sound.every(({ status, body }) => status === 200 && body === 'whole'));
  t.true((await endless).every(({ status }) => status === 502));
});
