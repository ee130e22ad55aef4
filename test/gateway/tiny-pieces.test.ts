import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayProcess } from './gateway-process.ts';
import {
  chunk,
  event,
  headFor,
  responseTo,
  streamHeadFor,
  tinyChunks,
} from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const MB = 1024 * 1024;
const BLOCK_BYTES = 64 * 1024;
const CALLS = 32;
const TIMEOUT_MS = 4_000;
/** Time after a route's time-out by which every request is answered. */
const TOLERANCE_MS = 500;
/** Memory of the smallest VM on which a node runs. */
const MAX_MEMORY_BYTES = 250 * MB;
const CHUNKED = { framing: ['Transfer-Encoding: chunked'] };

interface Kind {
  /** The route streams responses. */
  readonly isStream?: boolean;
  /** The response is valid for as long as it lasts, or whole before the bytes without end. */
  readonly isValid?: boolean;
  /** No byte is part of a body, so that the attempt ends long before the time-out. */
  readonly isFraming?: boolean;
  readonly head: (request: ReceivedRequest) => string;
  /** Written again and again. */
  readonly unit: string;
}

/** Writes `unit` until the node closes the connection. */
function writeEndlessly(socket: Socket, unit: string): void {
  const block = Buffer.from(unit.repeat(Math.ceil(BLOCK_BYTES / unit.length)));
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

const KINDS: Readonly<Record<string, Kind>> = {
  'a body in chunks of one byte': {
    head: (request) => headFor(request, CHUNKED),
    unit: chunk('x'),
  },
  'a stream in chunks of one byte without an event': {
    isStream: true,
    head: (request) => streamHeadFor(request),
    unit: chunk('x'),
  },
  'a stream of events in a chunk each': {
    isStream: true,
    isValid: true,
    head: (request) => streamHeadFor(request),
    unit: chunk('data: x\n\n'),
  },
  'digits of the size of a chunk': {
    head: (request) => headFor(request, CHUNKED),
    isFraming: true,
    unit: '0',
  },
  'an extension of a chunk': {
    isFraming: true,
    head: (request) => `${headFor(request, CHUNKED)}1;`,
    unit: 'x',
  },
  'extensions of chunks': { head: (request) => headFor(request, CHUNKED), unit: '1;a=b\r\nx\r\n' },
  trailers: {
    head: (request) => `${headFor(request, CHUNKED)}0\r\n`,
    isFraming: true,
    unit: 'X: y\r\n',
  },
  'blank lines before a head': { head: () => '', isFraming: true, unit: '\r\n' },
  'interim responses': { head: () => '', isFraming: true, unit: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'bytes after a whole response': {
    isValid: true,
    head: (request) => responseTo(request, 'whole'),
    unit: 'x',
  },
};

for (const [name, kind] of Object.entries(KINDS)) {
  const { isStream = false, isValid = false, isFraming = false, head, unit } = kind;
  // Guards against a node that runs out of memory, or of processor time, by a runner's small pieces.
  test.serial(
    `a runner sends ${name} without end; the node keeps to its memory and serves other requests`,
    async (t) => {
      t.timeout(60_000);
      let openCount = 0;
      const endless = await new ScriptedRunner((socket, request) => {
        openCount += 1;
        socket.once('close', () => {
          openCount -= 1;
        });
        socket.write(head(request));
        writeEndlessly(socket, unit);
      }).listen();
      t.teardown(() => endless.close());
      const gateway = await GatewayProcess.start(t, {
        runners: { endless: endless.port },
        route: { kind: isStream ? 'streaming' : 'idempotent', timeout_ms: TIMEOUT_MS },
      });
      const sound = gateway.sendSound(TIMEOUT_MS);
      const replies = await Promise.all(
        Array.from({ length: CALLS }, (_item, index) =>
          gateway.call({ path: '/endless/x', id: `q${index}`, deadlineMs: TIMEOUT_MS }),
        ),
      );
      const slowestMs = Math.round(Math.max(...replies.map(({ tookMs }) => tookMs)));
      const { sent, failed, slowestMs: slowestSoundMs } = await sound;
      const peakMb = Math.round(gateway.peakBytes / MB);
      t.log(
        `peak ${peakMb} MB, answered after at most ${slowestMs} ms, sound ${sent - failed.length} of ${sent}, at most ${slowestSoundMs} ms`,
      );
      t.true(isValid || replies.every(({ status, isComplete }) => status !== 200 || !isComplete));
      t.true(!isFraming || replies.every(({ status }) => status === 502), 'ended by the time-out');
      t.true(slowestMs < TIMEOUT_MS + TOLERANCE_MS, `answered after ${slowestMs} ms`);
      t.deepEqual(failed, [], `${failed.length} of ${sent} sound requests failed`);
      t.true(gateway.peakBytes < MAX_MEMORY_BYTES, `${peakMb} MB`);
      await sleep(TOLERANCE_MS);
      t.is(openCount, 0, 'connections that are still read');
    },
  );
}

// Guards against limits on small pieces that cut a response which ends.
test.serial('a body of a runner in chunks of one byte arrives whole', async (t) => {
  const body = 'abcdefghij'.repeat(2_000);
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(headFor(request, CHUNKED) + tinyChunks(body) + chunk(''));
  }).listen();
  t.teardown(() => runner.close());
  const gateway = await GatewayProcess.start(t, {
    runners: { tiny: runner.port },
    route: { timeout_ms: TIMEOUT_MS },
  });
  const replies = await Promise.all(
    Array.from({ length: CALLS }, (_item, index) =>
      gateway.call({ path: '/tiny/x', id: `q${index}`, deadlineMs: TIMEOUT_MS }),
    ),
  );
  t.true(replies.every((reply) => reply.status === 200 && reply.isComplete && reply.body === body));
});

// Guards against limits on small pieces that cut a stream of tokens.
test.serial('a stream of a runner in chunks of one byte arrives whole, also slowly', async (t) => {
  t.timeout(30_000);
  const events = Array.from({ length: 500 }, (_item, index) => event(index + 1));
  const runner = await new ScriptedRunner((socket, request) => {
    const write = async (): Promise<void> => {
      socket.write(streamHeadFor(request));
      for (const text of events) {
        socket.write(tinyChunks(text));
        if (request.head.includes('/slow')) await sleep(2);
      }
      socket.write(chunk(''));
    };
    void write();
  }).listen();
  t.teardown(() => runner.close());
  const gateway = await GatewayProcess.start(t, {
    runners: { tiny: runner.port },
    route: { kind: 'streaming', timeout_ms: 10_000 },
  });
  const replies = await Promise.all(
    ['fast', 'slow'].map((path) =>
      gateway.call({ path: `/tiny/${path}`, id: path, deadlineMs: 10_000 }),
    ),
  );
  for (const { status, isComplete, body } of replies) {
    t.true(status === 200 && isComplete);
    t.is(body, events.join(''));
  }
});
