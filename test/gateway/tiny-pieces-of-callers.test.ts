import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { GatewayProcess } from './gateway-process.ts';
import { RawCaller } from './raw-caller.ts';
import { chunk, responseTo, tinyChunks } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const MB = 1024 * 1024;
const BLOCK_BYTES = 64 * 1024;
const CALLERS = 32;
/** Time for which sound requests are sent beside the fault. */
const DURATION_MS = 4_000;
/** Time in which a request arrives or is given up: 2 s for its head, 10 s for its body, 1 s for the refusal. */
const ARRIVAL_MS = 14_000;
/** Memory of the smallest VM on which a node runs. */
const MAX_MEMORY_BYTES = 250 * MB;
const BODY_BYTES = 1_000_000;
const CHUNKED = 'Transfer-Encoding: chunked';

interface Kind {
  readonly head: string;
  /** Written again and again. */
  readonly unit: string;
  /** Size of a write in bytes. */
  readonly writeBytes?: number;
  /** No byte is part of a body, so that the connection ends long before the time limit. */
  readonly isFraming?: boolean;
}

function headWith(framing: string, key = 'key'): string {
  return [
    'POST /tiny/x HTTP/1.1',
    'Host: a.example',
    'Request-Id: tiny',
    `X-Api-Key: ${key}`,
    'Deadline-Ms: 4000',
    framing,
    '',
    '',
  ].join('\r\n');
}

/** Writes `unit` until the node closes the connection. */
function writeEndlessly({ socket }: RawCaller, { unit, writeBytes = BLOCK_BYTES }: Kind): void {
  const block = Buffer.from(unit.repeat(Math.ceil(writeBytes / unit.length)));
  const write = (): void => {
    if (socket.destroyed || !socket.writable) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

async function startGateway(t: ExecutionContext): Promise<GatewayProcess> {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, request.body));
  }).listen();
  t.teardown(() => runner.close());
  return GatewayProcess.start(t, {
    runners: { tiny: runner.port },
    limits: { max_body_bytes: BODY_BYTES },
  });
}

/** Asserts that sound requests are served beside what `start` has begun, within the memory of a node. */
async function assertSound(t: ExecutionContext, gateway: GatewayProcess): Promise<void> {
  const { sent, failed, slowestMs } = await gateway.sendSound(DURATION_MS);
  const peakMb = Math.round(gateway.peakBytes / MB);
  t.log(`peak ${peakMb} MB, sound ${sent - failed.length} of ${sent}, at most ${slowestMs} ms`);
  t.deepEqual(failed, [], `${failed.length} of ${sent} sound requests failed`);
  t.true(gateway.peakBytes < MAX_MEMORY_BYTES, `${peakMb} MB`);
}

const KINDS: Readonly<Record<string, Kind>> = {
  'a body in chunks of one byte': { head: headWith(CHUNKED), unit: chunk('x') },
  'a body in chunks of one byte, without a valid key': {
    head: headWith(CHUNKED, 'none'),
    unit: chunk('x'),
  },
  'a body in writes of one byte': {
    head: headWith(`Content-Length: ${BODY_BYTES}`),
    unit: 'x',
    writeBytes: 1,
  },
  'extensions of chunks': { head: headWith(CHUNKED), unit: '1;a=b\r\nx\r\n' },
  'an extension of a chunk': { head: `${headWith(CHUNKED)}1;`, unit: 'x', isFraming: true },
  'digits of the size of a chunk': { head: headWith(CHUNKED), unit: '0', isFraming: true },
  trailers: { head: `${headWith(CHUNKED)}0\r\n`, unit: 'X: y\r\n', isFraming: true },
  'blank lines before a request': { head: '', unit: '\r\n', isFraming: true },
  'pipelined requests': {
    head: '',
    unit: 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n',
    isFraming: true,
  },
  'pipelined requests without a host': {
    head: '',
    unit: 'GET / HTTP/1.1\r\n\r\n',
    isFraming: true,
  },
};

for (const [name, kind] of Object.entries(KINDS)) {
  // Guards against a node that runs out of memory, or of processor time, by small pieces of callers.
  test.serial(
    `callers send ${name} without end; the node keeps to its memory and serves other requests`,
    async (t) => {
      t.timeout(60_000);
      const gateway = await startGateway(t);
      const startedAt = performance.now();
      const callers = Array.from({ length: CALLERS }, () => {
        const caller = new RawCaller(gateway.port);
        t.teardown(() => caller.socket.destroy());
        caller.send(kind.head);
        writeEndlessly(caller, kind);
        return caller;
      });
      const ended = Promise.all(callers.map(({ closed }) => closed));
      const limitMs = kind.isFraming ? DURATION_MS : ARRIVAL_MS;
      const endedMs = ended.then(() => performance.now() - startedAt);
      await assertSound(t, gateway);
      const endedAfterMs = await Promise.race([
        endedMs,
        sleep(ARRIVAL_MS, Infinity, { ref: false }),
      ]);
      t.log(`connections ended after ${Math.round(endedAfterMs)} ms`);
      t.true(endedAfterMs < limitMs, `connections ended after ${Math.round(endedAfterMs)} ms`);
    },
  );
}

// Guards against a node that runs out of memory by bodies that are each within their limit.
test.serial(
  'many callers hold half a body each; the node keeps to its memory and serves other requests',
  async (t) => {
    t.timeout(60_000);
    const gateway = await startGateway(t);
    for (let index = 0; index < 300; index += 1) {
      const caller = new RawCaller(gateway.port);
      t.teardown(() => caller.socket.destroy());
      caller.send(headWith(`Content-Length: ${BODY_BYTES}`) + 'x'.repeat(BODY_BYTES / 2));
    }
    await assertSound(t, gateway);
  },
);

for (const [name, pauseMs] of [
  ['at once', 0],
  ['slowly', 5],
] as const) {
  // Guards against limits on small pieces that refuse a body which ends.
  test.serial(`bodies of callers in chunks of one byte arrive whole: ${name}`, async (t) => {
    t.timeout(30_000);
    const gateway = await startGateway(t);
    const parts = Array.from({ length: 200 }, (_item, index) => String(index).padStart(100, '.'));
    const callers = await Promise.all(
      Array.from({ length: CALLERS }, async () => {
        const caller = new RawCaller(gateway.port);
        caller.send(headWith(`${CHUNKED}\r\nConnection: close`));
        for (const part of parts) {
          caller.send(tinyChunks(part));
          if (pauseMs > 0) await sleep(pauseMs);
        }
        caller.send(chunk(''));
        await caller.closed;
        return caller;
      }),
    );
    for (const { received } of callers) {
      t.true(received.startsWith('HTTP/1.1 200 '));
      t.true(received.includes(parts.join('')));
    }
  });
}
