import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const SERVER_ERROR = 500;
/** Longer than the silence after which a request is tried elsewhere, in milliseconds. */
const BREAK_MS = 1_600;

function createFailing(): ScriptedRunner {
  return new ScriptedRunner((socket, request) => {
    const framing = ['Content-Length: 0'];
    socket.write(headFor(request, { status: '500 Internal Server Error', framing }));
  });
}

const SILENT = {
  'stays silent': () => new ScriptedRunner(() => undefined),
  'breaks off': () =>
    new ScriptedRunner((socket) => {
      setTimeout(() => socket.destroy(), BREAK_MS);
    }),
} as const;

for (const [name, create] of Object.entries(SILENT)) {
  // Guards against a response that is lost while another runner is waited for in vain.
  test(`a request gets the failure of one runner where the other one ${name}`, async (t) => {
    const silent = await create().listen();
    const failing = await createFailing().listen();
    t.teardown(() => failing.close());
    const harness = await GatewayHarness.start(t, { runners: [silent] });
    const reply = harness.call();
    await harness.waitUntil(() => silent.received.length === 1);
    await harness.registerRunner('r1', failing.port);
    t.is((await reply).status, SERVER_ERROR);
    t.is(failing.received.length, 1);
  });
}
