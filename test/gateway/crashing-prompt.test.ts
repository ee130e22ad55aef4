import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { streamHeadFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

test('the log line of a broken attempt tells which prompt parts it had and how far its response was', async (t) => {
  const runner = await new ScriptedRunner((socket, request) => {
    socket.write(streamHeadFor(request));
    setTimeout(() => socket.destroy(), 50);
  }).listen();
  const harness = await GatewayHarness.start(t, {
    runners: [runner],
    route: { kind: 'streaming', max_attempts: 1 },
  });
  await harness.call({ headers: { 'Prompt-Prefix': 'aa:10,bb:20,cc:30' } }).catch(() => undefined);
  const line = harness.lines.find((text) => text.includes('"event":"attempt-ended"')) ?? '{}';
  const fields = JSON.parse(line) as Record<string, unknown>;
  t.like(fields, { parts: 'aa,bb,cc', otherRequests: 0, otherKvTokens: 0 });
  t.is(typeof fields.respondingMs, 'number');
});
