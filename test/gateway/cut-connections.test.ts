import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { chunk, event, streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

const RUNNERS = 2;
const WARM_CALLS = 6;
const WARM_MS = 50;

// Guards against streams whose attempts are spent on idle connections that were cut together with theirs (LOST).
test('a stream whose connection is cut goes on over a new connection', async (t) => {
  const used = new WeakSet();
  let isCut = false;
  const create = (): ScriptedRunner =>
    new ScriptedRunner((socket, request) => {
      if (request.head.includes('/warm')) {
        used.add(socket);
        setTimeout(
          () => socket.write(streamHeadFor(request) + chunk(event(1)) + chunk('')),
          WARM_MS,
        );
        return;
      }
      if (!isCut) {
        isCut = true;
        socket.write(streamHeadFor(request) + chunk(event(1)));
        setTimeout(() => socket.resetAndDestroy(), WARM_MS);
        return;
      }
      if (used.has(socket)) socket.resetAndDestroy();
      else socket.write(streamHeadFor(request) + chunk(event(2)) + chunk(event(3)) + chunk(''));
    });
  const runners = await Promise.all(Array.from({ length: RUNNERS }, () => create().listen()));
  const harness = await GatewayHarness.start(t, {
    runners,
    route: { kind: 'streaming', stream_resume: true, gap_target_ms: 300, max_attempts: 2 },
  });
  await Promise.all(Array.from({ length: WARM_CALLS }, () => harness.call({ path: '/p/warm' })));
  for (const { received } of runners) t.true(received.length > 0);
  const reply = await harness.call();
  t.is(reply.body, event(1) + event(2) + event(3));
  t.true(reply.isComplete);
});
