import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { chunk, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';
import type { ReceivedRequest } from './scripted-runner.ts';

const EVENTS = 20;
/** Together the events are more than the buffers of a connection hold. */
const EVENT_BYTES = 500_000;
/** Longer than the silence after which a stream is resumed elsewhere. */
const PAUSE_MS = 2_500;

function bigEvent(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`;
}

function restOf({ head }: ReceivedRequest): string {
  const after = Number(/last-event-id: (\d+)/i.exec(head)?.[1] ?? 0);
  const ids = Array.from({ length: EVENTS - after }, (_, index) => after + 1 + index);
  return ids.map((id) => chunk(bigEvent(id))).join('');
}

// Guards against a stream that is given up, or moved, because its caller reads slowly.
test('a stream whose caller reads slowly goes on at its runner', async (t) => {
  const runners = [1, 2, 3].map(
    () =>
      new ScriptedRunner((socket, request) => {
        socket.write(streamHeadFor(request) + restOf(request) + chunk(''));
      }),
  );
  for (const runner of runners) await runner.listen();
  const harness = await GatewayHarness.start(t, {
    runners,
    route: { kind: 'streaming', stream_resume: true, gap_target_ms: 100, timeout_ms: 20_000 },
  });
  const caller = new RawCaller(harness.gateway.ports.callers);
  t.teardown(() => caller.socket.destroy());
  caller.send(requestText({ id: 'a' }));
  await new Promise((resolve) => caller.socket.once('data', resolve));
  for (let pause = 0; pause < 3; pause += 1) {
    caller.socket.pause();
    await sleep(PAUSE_MS);
    caller.socket.resume();
    await sleep(5);
  }
  await Promise.race([caller.closed, sleep(2_000)]);
  const ids = [...caller.received.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  t.deepEqual(
    ids,
    Array.from({ length: EVENTS }, (_, index) => index + 1),
  );
  t.true(caller.received.endsWith('0\r\n\r\n'));
  t.is(
    runners.reduce((sum, { received }) => sum + received.length, 0),
    1,
  );
});
