import test from 'ava';
import { LogExpired, LogRateExceeded, LogRecordTooLarge, LogUnavailable } from '@ragwortrudder/log';
import { HttpLog } from '@ragwortrudder/platform';
import { TestServer } from './server.ts';
import type { Handler } from './server.ts';

async function withLog(
  handler: Handler,
  run: (log: HttpLog, server: TestServer) => Promise<void>,
  timeoutMs = 5_000,
): Promise<void> {
  const server = await TestServer.start(handler);
  const log = new HttpLog({ baseUrl: server.url, stream: 'tickets', timeoutMs });
  try {
    await run(log, server);
  } finally {
    await log.close();
    await server.close();
  }
}

test('appends and reads over HTTP', async (t) => {
  const record = { offset: 4, id: 'a', time: 7, body: { x: 1 } };
  const handler: Handler = ({ method }) =>
    method === 'POST'
      ? { status: 201, body: { offset: 4 } }
      : { status: 200, body: { records: [record], next: 5, first: 0 } };
  await withLog(handler, async (log, server) => {
    t.is(await log.append({ id: 'a', body: { x: 1 } }), 4);
    t.deepEqual(server.requests[0]?.body, { id: 'a', body: { x: 1 } });
    const page = await log.read({ from: 4, limit: 10, waitMs: 50 });
    t.deepEqual(page, { records: [record], next: 5, first: 0 });
    t.is(server.requests[1]?.url, '/log/tickets/records?from=4&limit=10&waitMs=50');
  });
});

test('each error status is mapped to a typed failure, and nothing is retried', async (t) => {
  const answers = {
    '413': { status: 413 },
    '429': { status: 429, headers: { 'retry-after': '2' } },
    '503': { status: 503 },
    '500': { status: 500, body: 'not json' },
    wrong: { status: 201, body: { offset: 'x' } },
  } as const;
  const handler: Handler = ({ body }) =>
    answers[(body as { readonly id: keyof typeof answers }).id];
  await withLog(handler, async (log, server) => {
    await t.throwsAsync(log.append({ id: '413', body: 1 }), { instanceOf: LogRecordTooLarge });
    const rate = await t.throwsAsync(log.append({ id: '429', body: 1 }), {
      instanceOf: LogRateExceeded,
    });
    t.is(rate.retryAfterMs, 2_000);
    for (const id of ['503', '500', 'wrong']) {
      const failure = await t.throwsAsync(log.append({ id, body: 1 }), {
        instanceOf: LogUnavailable,
      });
      t.false(failure.notRun);
    }
    t.is(server.requests.length, 5);
  });
});

test('a failed read is not retried by the client', async (t) => {
  const replies = [{ status: 503 }, 'drop'] as const;
  let calls = 0;
  const handler: Handler = () => replies[calls++] ?? { status: 500 };
  await withLog(handler, async (log, server) => {
    for (const count of [1, 2]) {
      await t.throwsAsync(log.read({ from: 0, limit: 1, waitMs: 0 }), {
        instanceOf: LogUnavailable,
      });
      t.is(server.requests.length, count);
    }
  });
});

test('a read past retention reports the retained range', async (t) => {
  const handler: Handler = () => ({ status: 410, body: { first: 12, next: 20 } });
  await withLog(handler, async (log) => {
    const failure = await t.throwsAsync(log.read({ from: 0, limit: 1, waitMs: 0 }), {
      instanceOf: LogExpired,
    });
    t.like(failure, { first: 12, next: 20 });
  });
});

test('after a lost reply or a time-out the outcome is unknown', async (t) => {
  const handler: Handler = ({ body }) =>
    (body as { readonly id: string }).id === 'drop' ? 'drop' : 'hang';
  const run = async (log: HttpLog, server: TestServer): Promise<void> => {
    for (const id of ['drop', 'hang']) {
      const failure = await t.throwsAsync(log.append({ id, body: 1 }), {
        instanceOf: LogUnavailable,
      });
      t.false(failure.notRun);
    }
    t.is(server.requests.length, 2);
  };
  await withLog(handler, run, 1_500);
});

test('after a time-out the next call uses a new connection', async (t) => {
  const silentPorts = new Set<number | undefined>();
  const handler: Handler = ({ port }) => {
    if (silentPorts.has(port)) return 'hang';
    return { status: 200, body: { records: [], next: 0, first: 0 } };
  };
  const range = { from: 0, limit: 1, waitMs: 0 };
  const run = async (log: HttpLog, server: TestServer): Promise<void> => {
    await log.read(range);
    silentPorts.add(server.requests[0]?.port);
    await t.throwsAsync(log.read(range), { instanceOf: LogUnavailable });
    await t.notThrowsAsync(log.read(range));
    t.is(server.requests[1]?.port, server.requests[0]?.port);
    t.not(server.requests[2]?.port, server.requests[0]?.port);
  };
  await withLog(handler, run, 1_500);
});

test('an append fails with notRun if the connection is refused', async (t) => {
  const server = await TestServer.start(() => 'drop');
  const log = new HttpLog({ baseUrl: server.url, stream: 'tickets' });
  await server.close();
  const failure = await t.throwsAsync(log.append({ id: 'a', body: 1 }), {
    instanceOf: LogUnavailable,
  });
  t.true(failure.notRun);
  await log.close();
});

test('a read ends when its signal is aborted, and close ends the connections', async (t) => {
  const handler: Handler = ({ method }) =>
    method === 'POST' ? { status: 201, body: { offset: 0 } } : 'hang';
  await withLog(handler, async (log, server) => {
    const abort = new AbortController();
    const read = log.read({ from: 0, limit: 1, waitMs: 60_000, signal: abort.signal });
    abort.abort();
    await t.throwsAsync(read, { instanceOf: LogUnavailable });
    await log.append({ id: 'a', body: 1 });
    t.true((await server.connections()) > 0);
    await log.close();
    while ((await server.connections()) > 0) await new Promise((resolve) => setTimeout(resolve, 5));
  });
});
