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

/** Runners that the request is sent to after its first one has failed. */
const OTHERS = {
  'breaks off': () => new ScriptedRunner((socket) => socket.destroy()),
  'stays silent': () => new ScriptedRunner(() => undefined),
  'has no room': () =>
    new ScriptedRunner((socket, request) => {
      const framing = ['Not-Executed: full', 'Content-Length: 0'];
      socket.write(headFor(request, { status: '503 Service Unavailable', framing }));
    }),
} as const;

for (const [name, create] of Object.entries(OTHERS)) {
  // Guards against a response that is given up for a retry that brings nothing.
  test(`a request gets the failure of its runner where the retry’s runner ${name}`, async (t) => {
    const other = await create().listen();
    t.teardown(() => other.close());
    const harness = await GatewayHarness.start(t, { isEmpty: true });
    const failing = await new ScriptedRunner((socket, request) => {
      void (async () => {
        await harness.registerRunner('r1', other.port);
        await harness.waitUntil(() => harness.lines.some((line) => line.includes('"runner":"r1"')));
        const framing = ['Content-Length: 0'];
        socket.write(headFor(request, { status: '500 Internal Server Error', framing }));
      })();
    }).listen();
    t.teardown(() => failing.close());
    await harness.configure({});
    await harness.registerRunner('r0', failing.port);
    await harness.waitUntil(() => harness.isReady());
    t.is((await harness.call()).status, SERVER_ERROR);
    t.is(other.received.length, 1);
  });
}
