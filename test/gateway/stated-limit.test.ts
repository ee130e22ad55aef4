import test from 'ava';
import { GatewayHarness } from './gateway-harness.ts';
import { headFor } from './scripted-response.ts';
import { ScriptedRunner } from './scripted-runner.ts';

test('a log line tells when a runner states a limit and when it no longer does', async (t) => {
  const runner = await new ScriptedRunner((socket, request, index) => {
    const limit = index === 1 ? ['Server-Limit: 2.5'] : [];
    socket.write(`${headFor(request, { framing: ['Content-Length: 2', ...limit] })}ok`);
  }).listen();
  const harness = await GatewayHarness.start(t, { runners: [runner] });
  for (let index = 0; index < 3; index += 1) await harness.call();
  const stated = harness.lines
    .filter((line) => line.includes('runner-rate-stated'))
    .map((line) => (JSON.parse(line) as Record<string, unknown>).requestsPerSecond);
  t.deepEqual(stated, [2.5, 'none']);
});
