import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { processHost } from '@ragwortrudder/standins';
import { CutFleet } from './cut-fleet.ts';
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

// Guards against a request that a peer passes on to a node as it closes, and that gets 502 (LOST).
test('a stopping node answers its peers until they know that it leaves', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  t.teardown(() => runner.close());
  const fleet = await CutFleet.start(t, { runners: [runner], gateways: 2 });
  const [node, peer] = fleet.gateways;
  if (!node || !peer) throw new TypeError('no gateway was started');
  await node.waitUntil(() => node.lines.some((line) => line.includes('"peer-heard"')));
  const stopped = peer.gateway.stop();
  await node.waitUntil(() => node.lines.some((line) => line.includes('"peer-left"')));
  const caller = new RawCaller(peer.options.peerPort ?? 0, processHost());
  caller.send(requestText({ id: 'a' }));
  await Promise.race([caller.closed, once(caller.socket, 'data')]);
  t.deepEqual(caller.responses, ['400']);
  caller.socket.destroy();
  await stopped;
  await peer.gateway.closed();
});
