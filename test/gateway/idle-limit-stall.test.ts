import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const IDLE_LIMIT_MS = 1_000;
/** Time by which the server of Node.js closes idle connections later than it announces, in milliseconds. */
const KEEP_ALIVE_BUFFER_MS = 1_000;
/** Time before the close at which the node begins to be busy, in milliseconds. */
const BEFORE_MS = 50;
/** Longer than a request may cross the close of its connection. */
const STALL_MS = 400;

/** Occupies the thread that the node, the runner and the caller share. */
function stall(ms: number): void {
  const endsAt = performance.now() + ms;
  while (performance.now() < endsAt);
}

// Guards against the end of an idle connection on which a request has waited for longer than the bound
// while the node was busy with what it had read from another one.
test.serial(
  'a request that arrives while the node handles another connection across the idle limit is answered',
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
    const server = createServer((socket) => {
      socket.once('data', () => {
        caller.send(requestText({ id: 'b' }));
        stall(STALL_MS);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const busy = connect((server.address() as AddressInfo).port, '127.0.0.1');
    t.teardown(() => {
      caller.socket.destroy();
      busy.destroy();
      server.close();
    });
    caller.send(requestText({ id: 'a' }));
    while (caller.responses.length === 0) await sleep(5);
    await new Promise<void>((resolve) => {
      setTimeout(
        () => {
          // The next turn of the event loop begins with the timer of the idle limit and then reads.
          setImmediate(() => {
            busy.write('x');
            stall(2 * BEFORE_MS);
            resolve();
          });
        },
        IDLE_LIMIT_MS + KEEP_ALIVE_BUFFER_MS - BEFORE_MS,
      );
    });
    await Promise.race([caller.closed, sleep(STALL_MS + 500)]);
    t.deepEqual(caller.responses, ['200 a', '200 b']);
  },
);
