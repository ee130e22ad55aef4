import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { RawCaller, requestHead } from './raw-caller.ts';
import { ROUTE_KINDS } from './route-kinds.ts';
import { responseTo } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 100_000,
  header_timeout_ms: 500,
  idle_timeout_ms: 5_000,
};
/** Time in which a request that was wrongly passed on reaches the runner, in milliseconds. */
const PASSING_MS = 500;

// Guards against a request that runs although its caller was told that it never will (REFUSED).
test('a request whose time for its body has passed does not run when its rest arrives', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(responseTo(request, 'ok'));
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    route: { ...ROUTE_KINDS['once-only'], timeout_ms: 8_000 },
  });
  await harness.configure({ limits: LIMITS });
  await harness.waitUntil(() =>
    harness.lines.some((line) => line.includes('"configuration-applied","version":2')),
  );
  const caller = new RawCaller(harness.gateway.ports.callers);
  t.teardown(() => caller.socket.destroy());
  caller.send(`${requestHead({ id: 'a' })}hel`);
  await harness.waitUntil(() => caller.received !== '');
  caller.send('lo');
  await caller.closed;
  await sleep(PASSING_MS);
  t.deepEqual(caller.responses, ['408']);
  t.deepEqual(runner.received, []);
});
