import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { CutFleet } from './cut-fleet.ts';
import { GatewayHarness } from './gateway-harness.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const OK = 200;
const RUNNERS = 400;
/** Length of the ids, such as the name of a VM may have. */
const ID_LENGTH = 63;
/** Time in which nodes hear each other. */
const MEETING_MS = 600;
/** Time in which a node finds out that it has lost all links. */
const DISCOVERY_MS = 20_000;
const PAUSE_MS = 20;
const CALLS = 10;

// Guards against requests that no peer reads because this node has lost its links to many runners.
test('requests of a node that has lost its links to many runners are served by a peer', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  t.teardown(() => runner.close());
  const fleet = await CutFleet.start(t, { runners: [runner], gateways: 2 });
  const writer = GatewayHarness.writerFor(fleet.log);
  for (let index = 0; index < RUNNERS; index += 1) {
    await writer.registerRunner(`r${index}`.padEnd(ID_LENGTH, '-'), runner.port);
  }
  await sleep(MEETING_MS);
  const [, cut] = fleet.gateways;
  if (!cut) throw new TypeError('no node was started');
  await fleet.setLinks([1], 'cut');
  const lost = (): number => cut.lines.filter((line) => line.includes('"runner-link-lost"')).length;
  const until = performance.now() + DISCOVERY_MS;
  while (lost() < RUNNERS && performance.now() < until) {
    await cut.call();
    await sleep(PAUSE_MS);
  }
  t.true(lost() >= RUNNERS);
  await sleep(MEETING_MS);
  for (let count = 0; count < CALLS; count += 1) t.is((await cut.call()).status, OK);
});
