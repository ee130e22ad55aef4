import test from 'ava';
import got from 'got';
import type { ExecutionContext } from 'ava';
import { ApplicationRunner } from '@ragwortrudder/standins';
import type { ApplicationFault, ApplicationOptions } from '@ragwortrudder/standins';
import { call } from './call.ts';

async function start(t: ExecutionContext, options: Partial<ApplicationOptions> = {}) {
  const runner = new ApplicationRunner({ id: 'a1', workMs: 0, loadLagMs: 0, ...options });
  await runner.listen();
  t.teardown(() => runner.close());
  return runner;
}

async function operate(address: string, key = 'k', payload: unknown = {}) {
  return call(`${address}/operations`, { json: { key, operation: 'reorder', payload } });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test('an operation is run, answered and recorded, and repeated runs of a key are counted', async (t) => {
  const runner = await start(t);
  const reply = await operate(runner.address, 'k', { pallets: 2 });
  t.is(reply.status, 200);
  t.like(reply.body, { result: { key: 'k', operation: 'reorder', runner: 'a1', number: 1 } });
  await operate(runner.address, 'k');
  await operate(runner.address, 'other');
  const report = (await call(`${runner.address}/control/runs`)).body.runs as {
    readonly key: string;
    readonly times: number;
  }[];
  t.deepEqual(
    report.map(({ key, times }) => [key, times]),
    [
      ['k', 1],
      ['k', 2],
      ['other', 1],
    ],
  );
});

test('a malformed operation is rejected and not run', async (t) => {
  const runner = await start(t);
  t.is((await call(`${runner.address}/operations`, { json: { key: 'k' } })).status, 400);
  t.deepEqual(runner.runs(), []);
});

const replyCases: readonly {
  readonly mode: NonNullable<ApplicationFault['mode']>;
  readonly status: number;
  readonly runs: number;
}[] = [
  { mode: 'fail', status: 500, runs: 0 },
  { mode: 'fail-after', status: 500, runs: 1 },
  { mode: 'refuse', status: 422, runs: 0 },
  { mode: 'not-run', status: 503, runs: 0 },
  { mode: 'slow', status: 200, runs: 1 },
  { mode: 'reply-late', status: 200, runs: 1 },
];
for (const { mode, status, runs } of replyCases) {
  test(`fault ${mode}: answers ${status} after ${runs} runs, for the given count`, async (t) => {
    const runner = await start(t);
    await runner.setFault({ mode, count: 1, delayMs: 20 });
    const reply = await operate(runner.address);
    t.is(reply.status, status);
    t.is(reply.body.notRun, mode === 'not-run' ? true : undefined);
    t.is(runner.runs().length, runs);
    t.is((await operate(runner.address)).status, 200);
  });
}

test('fault reply-late: the operation runs before the reply is sent', async (t) => {
  const runner = await start(t);
  await runner.setFault({ mode: 'reply-late', delayMs: 1000, count: 1 });
  let replied = false;
  const late = operate(runner.address).then(() => (replied = true));
  await waitUntil(() => runner.runs().length === 1);
  t.false(replied);
  await late;
});

test('fault reply-lost: the operation runs and the connection is destroyed', async (t) => {
  const runner = await start(t);
  await runner.setFault({ mode: 'reply-lost', count: 1 });
  await t.throwsAsync(operate(runner.address));
  t.is(runner.runs().length, 1);
});

test('fault reply-cut: the operation runs, and an orderly close cuts an answer without framing', async (t) => {
  const runner = await start(t);
  await runner.setFault({ mode: 'reply-cut', count: 1 });
  const reply = await got.post(`http://${runner.address}/operations`, {
    json: { key: 'k', operation: 'reorder' },
    retry: { limit: 0 },
  });
  t.is(reply.headers['content-length'], undefined);
  t.is(reply.headers['transfer-encoding'], undefined);
  t.throws(() => JSON.parse(reply.body) as unknown);
  t.is(runner.runs().length, 1);
});

for (const [mode, runs] of [
  ['hang', 0],
  ['hang-after', 1],
] as const) {
  test(`fault ${mode}: never answers after ${runs} runs`, async (t) => {
    const runner = await start(t);
    await runner.setFault({ mode, count: 1 });
    const abort = new AbortController();
    const hung = call(`${runner.address}/operations`, {
      json: { key: 'hung', operation: 'reorder' },
      signal: abort.signal,
    });
    await waitUntil(() => runner.requests === 1);
    t.is((await operate(runner.address, 'next')).status, 200);
    await waitUntil(() => runner.runs().length === runs + 1);
    abort.abort();
    await t.throwsAsync(hung);
    t.is(runner.runs().filter((run) => run.key === 'hung').length, runs);
  });
}

test('fault conditions: apply only with a marker and after a number of requests', async (t) => {
  const runner = await start(t);
  await runner.setFault({ mode: 'fail', condition: { marker: 'bleach', afterRequests: 1 } });
  t.is((await operate(runner.address, 'k', { item: 'bleach' })).status, 200);
  t.is((await operate(runner.address, 'k', { item: 'bleach' })).status, 500);
  t.is((await operate(runner.address, 'k', { item: 'mop' })).status, 200);
});

test('fault leaving: is reported and no request is refused; fault refuse: connections are refused', async (t) => {
  const runner = await start(t);
  await runner.setFault({ leaving: true });
  t.is((await call(`${runner.address}/load`)).body.leaving, true);
  t.is((await operate(runner.address)).headers['x-runner-leaving'], 'true');
  await runner.setFault({ refuse: true });
  await t.throwsAsync(operate(runner.address), { message: /ECONNREFUSED/ });
  await runner.setFault({ refuse: false });
  t.is((await operate(runner.address)).status, 200);
});

test('operations above the concurrency limit wait and are reported as waiting', async (t) => {
  const runner = await start(t, { maxRunning: 1, workMs: 600_000 });
  const replies = [operate(runner.address, 'a'), operate(runner.address, 'b')];
  await waitUntil(() => runner.requests === 2);
  t.like((await call(`${runner.address}/load`)).body, { running: 1, waiting: 1 });
  await runner.close();
  await Promise.allSettled(replies);
});

test('the load report is zero once all operations have ended', async (t) => {
  const runner = await start(t, { maxRunning: 1, workMs: 20 });
  await Promise.all([operate(runner.address, 'a'), operate(runner.address, 'b')]);
  t.like((await call(`${runner.address}/load`)).body, { running: 0, waiting: 0 });
});
