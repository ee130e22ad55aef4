import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { Settings } from '@ragwortrudder/settings';
import { ApplicationRunner } from '@ragwortrudder/standins';
import type { ApplicationFault } from '@ragwortrudder/standins';
import { ApplicationClient } from '../../packages/node/src/node/runners/application-client.ts';
import type { OperationOutcome } from '../../packages/node/src/types/operation-outcome.ts';

const settings = { requests: { runnerConnectMs: 1000 } } as unknown as Settings;

async function callWith(
  t: ExecutionContext,
  mode: NonNullable<ApplicationFault['mode']>,
): Promise<OperationOutcome['kind']> {
  const runner = new ApplicationRunner({ id: 'a1', workMs: 1 });
  await runner.listen();
  const client = new ApplicationClient(settings);
  t.teardown(() => Promise.all([client.close(), runner.close()]));
  await runner.setFault({ mode });
  const { kind } = await client.call({
    endpoint: runner.address,
    key: 'k',
    operation: 'reorder',
    payload: {},
    timeoutMs: 2_000,
    signal: new AbortController().signal,
  });
  return kind;
}

// Guards against telling a caller that an operation failed whose answer was cut after it had run.
test('the outcome of an operation whose answer is cut is unknown', async (t) => {
  t.is(await callWith(t, 'reply-cut'), 'unknown');
});

test('the outcome of an operation follows its answer', async (t) => {
  t.is(await callWith(t, 'ok'), 'completed');
  t.is(await callWith(t, 'not-run'), 'not-run');
  t.is(await callWith(t, 'refuse'), 'refused');
  t.is(await callWith(t, 'fail'), 'failed');
  t.is(await callWith(t, 'reply-lost'), 'unknown');
});

// Guards against buffering an answer that an application never ends.
test('the outcome of an operation whose answer has no end is unknown, before its timeout', async (t) => {
  const server = createServer((request, response) => {
    request.resume();
    const timer = setInterval(() => response.write('x'.repeat(1024 * 1024)), 1);
    response.on('close', () => {
      clearInterval(timer);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new ApplicationClient(settings);
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  const startedAt = performance.now();
  const { kind } = await client.call({
    endpoint: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    key: 'k',
    operation: 'reorder',
    payload: {},
    timeoutMs: 30_000,
    signal: new AbortController().signal,
  });
  t.is(kind, 'unknown');
  t.true(performance.now() - startedAt < 30_000);
});
