import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const RUNNERS = 3;
const REQUESTS = 60;
const PERIOD_MS = 25;
const BODY = 'done';

/** Runner that breaks each response off inside its body and lives on. */
function createResetting(): ScriptedRunner {
  return new ScriptedRunner((socket, request) => {
    const framing = [`Content-Length: ${BODY.length}`];
    socket.write(`${headFor(request, { framing })}${BODY.slice(0, 1)}`, () => {
      socket.resetAndDestroy();
    });
  });
}

// Guards against blaming a request for responses that were reset although their runners live on.
test('pattern: runners that reset each response; a request that comes again is not quarantined', async (t) => {
  const runners = await Promise.all(
    Array.from({ length: RUNNERS }, () => createResetting().listen()),
  );
  const harness = await GatewayHarness.start(t, { runners, route: { kind: 'idempotent' } });
  const replies: ReturnType<GatewayHarness['call']>[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    replies.push(harness.call({ method: 'GET', path: '/p/x' }));
    await sleep(PERIOD_MS);
  }
  const bodies = (await Promise.all(replies)).map(({ body }) => body);
  const rejected = bodies.filter((body) => body.includes('quarantined'));
  t.is(rejected.length, 0, `${rejected.length} of ${bodies.length} rejected`);
});
