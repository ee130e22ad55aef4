import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestText } from './raw-caller.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

/** More than the buffers of a connection hold. */
const BODY_BYTES = 7_000_000;
/** Longer than a node that is stopping takes new connections. */
const PAUSE_MS = 4_000;

// Guards against a node that closes while the end of a response has not been sent.
test('a response that its caller reads slowly is complete although the node stops', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'x'.repeat(BODY_BYTES)));
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  const caller = new RawCaller(harness.gateway.ports.callers);
  caller.socket.pause();
  caller.send(requestText({ id: 'a' }));
  await harness.waitUntil(() => harness.lines.some((line) => line.includes('"request-served"')));
  const stopped = harness.gateway.stop();
  await sleep(PAUSE_MS);
  caller.socket.resume();
  await caller.closed;
  t.is(caller.received.length - caller.received.indexOf('\r\n\r\n') - 4, BODY_BYTES);
  await stopped;
  await harness.gateway.closed();
});
