import test from 'ava';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import got from 'got';
import { BatchScheduler, EngineRunner, PrefixCache, Sequence } from '@ragwortrudder/standins';
import { prefixHashes } from '@ragwortrudder/standins';
import type { EngineOptions } from '@ragwortrudder/standins';
import { call } from './call.ts';

interface TokenEvent {
  readonly type: string;
  readonly index?: number;
  readonly text?: string;
  readonly cachedTokens?: number;
  readonly computedTokens?: number;
  readonly finish?: string;
}
interface Generation {
  readonly requestId?: string;
  readonly prompt?: string;
  readonly generated?: readonly string[];
  readonly maxTokens?: number;
  readonly priority?: number;
}

interface CacheEvent {
  readonly seq: number;
  readonly kind: string;
  readonly prefix: string;
}
interface OpenStream {
  readonly tokens: () => number;
  close(): void;
}

const LONG_MS = 3_600_000;
const FAST = {
  stepMs: 0,
  prefillTokenMs: 0,
  decodeTokenMs: 0,
  loadLagMs: 0,
  cacheEventDelayMs: 0,
  kvCapacity: 10_000_000,
};

function wordsOf(count: number, name = 'w'): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}${index}`);
}

function promptOf(count: number, name?: string): string {
  return wordsOf(count, name).join(' ');
}

function sequenceOf(tokens: number, overrides: Generation = {}): Sequence {
  const base = { runner: 'm1', requestId: 'r', generated: [], maxTokens: 10, priority: 0 };
  return new Sequence({ ...base, prompt: promptOf(tokens), ...overrides });
}

async function start(t: ExecutionContext, options: Partial<EngineOptions> = {}) {
  const runner = new EngineRunner({ id: 'm1', cacheEventLossRate: 0, ...FAST, ...options });
  await runner.listen();
  t.teardown(() => runner.close());
  return runner;
}

function generationBody(overrides: Generation): Generation {
  return { requestId: 'r1', prompt: promptOf(40), maxTokens: 4, ...overrides };
}

async function generate(
  address: string,
  overrides: Generation = {},
): Promise<readonly TokenEvent[]> {
  const options = { json: generationBody(overrides), retry: { limit: 0 } };
  const text = await got.post(`http://${address}/generate`, options).text();
  return text
    .split('\n\n')
    .filter((part) => part !== '')
    .map((part) => JSON.parse(part.slice('data: '.length)) as TokenEvent);
}

/** Starts a generation and calls `onToken` for each chunk with a token event until the stream ends or fails. */
function openGeneration(
  address: string,
  overrides: Generation,
  onToken: () => void,
): { close(): void } {
  const stream = got.stream.post(`http://${address}/generate`, {
    json: generationBody(overrides),
    retry: { limit: 0 },
  });
  stream.on('data', (chunk: Buffer) => {
    if (chunk.toString('utf8').includes('"token"')) onToken();
  });
  stream.on('error', () => undefined);
  return {
    close: () => {
      stream.destroy();
    },
  };
}

async function openUntilFirstToken(
  t: ExecutionContext,
  address: string,
  overrides: Generation = {},
) {
  return new Promise<OpenStream>((resolve) => {
    let tokens = 0;
    const stream = openGeneration(address, { maxTokens: 1_000_000, ...overrides }, () => {
      tokens += 1;
      resolve({
        tokens: () => tokens,
        close: () => {
          stream.close();
        },
      });
    });
    t.teardown(() => {
      stream.close();
    });
  });
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 5));
}

async function setFault(address: string, json: unknown): Promise<void> {
  await call(`${address}/control/faults`, { json });
}

test('a step takes longer with more sequences and with concurrent prefill', (t) => {
  const scheduler = new BatchScheduler({});
  const decoding = (count: number) => {
    for (let index = 0; index < count; index += 1) {
      const sequence = sequenceOf(100);
      sequence.computedTokens = 99;
      scheduler.add(sequence);
    }
    scheduler.admit();
    return scheduler.plan().durationMs;
  };
  const one = decoding(1);
  const eight = decoding(7);
  scheduler.add(sequenceOf(400));
  scheduler.admit();
  t.true(one < eight);
  t.true(eight < scheduler.plan().durationMs);
});

test('prefill and decode share the token budget of a step', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ tokens: fc.integer({ min: 1, max: 90 }), decodes: fc.boolean() })),
      fc.integer({ min: 32, max: 64 }),
      (items, tokenBudget) => {
        const scheduler = new BatchScheduler({ tokenBudget });
        for (const { tokens, decodes } of items) {
          const sequence = sequenceOf(tokens);
          if (decodes) sequence.computedTokens = tokens - 1;
          scheduler.add(sequence);
        }
        scheduler.admit();
        const step = scheduler.plan();
        const prefill = step.prefills.reduce((sum, { tokens }) => sum + tokens, 0);
        return prefill + step.decodes.length <= tokenBudget;
      },
    ),
    { seed: 11, numRuns: 200 },
  );
  t.pass();
});

test('sequences are admitted by priority within the limits of batch size and KV memory', (t) => {
  const scheduler = new BatchScheduler({ maxRunning: 2, kvCapacity: 1000 });
  const [late, first, second, big] = [
    sequenceOf(10, { priority: 0 }),
    sequenceOf(10, { priority: 2 }),
    sequenceOf(10, { priority: 1 }),
    sequenceOf(995, { priority: 3 }),
  ];
  const later = sequenceOf(10, { priority: 0 });
  scheduler.add(late);
  scheduler.add(later);
  scheduler.add(second);
  scheduler.add(first);
  t.deepEqual(scheduler.admit(), [first, second]);
  t.deepEqual(scheduler.waiting, [late, later]);
  scheduler.remove(first);
  scheduler.add(big);
  t.deepEqual(scheduler.admit(), []);
  scheduler.remove(second);
  t.deepEqual(scheduler.admit(), [big]);
});

test('prefix cache: hits on full blocks, evicts the least recently used, last block first', (t) => {
  const events: string[] = [];
  const cache = new PrefixCache(3, (kind, prefix) => events.push(`${kind} ${prefix}`));
  const [a, b] = [wordsOf(40, 'a'), wordsOf(32, 'b')];
  cache.store(a);
  t.is(cache.match(a), 32);
  t.is(cache.match([...a.slice(0, 20), 'other']), 16);
  t.is(cache.match(b), 0);
  t.is(cache.match(a), 32);
  cache.store(b);
  t.is(cache.match(b), 32);
  t.is(cache.match(a), 16);
  const [a0 = '', a1 = ''] = prefixHashes(a);
  const [b0 = '', b1 = ''] = prefixHashes(b);
  t.deepEqual(events.slice(0, 2).sort(), [`stored ${a0}`, `stored ${a1}`].sort());
  t.deepEqual(events.slice(2), [`stored ${b0}`, `stored ${b1}`, `evicted ${a1}`]);
});

test('prefix cache: never holds more than its capacity and matches only what was stored', (t) => {
  const text = fc.array(fc.constantFrom('x', 'y'), { maxLength: 80 });
  fc.assert(
    fc.property(fc.array(text), fc.integer({ min: 1, max: 6 }), (texts, capacity) => {
      const cache = new PrefixCache(capacity, () => undefined);
      const stored = new Set<string>();
      return texts.every((words) => {
        const matched = words.slice(0, cache.match(words));
        const allStored = prefixHashes(matched).every((hash) => stored.has(hash));
        cache.store(words);
        for (const hash of prefixHashes(words)) stored.add(hash);
        return allStored && cache.prefixes.length <= capacity;
      });
    }),
    { seed: 12, numRuns: 200 },
  );
  t.pass();
});

test('a generation streams indexed tokens derived from prompt, index and runner', async (t) => {
  const { address } = await start(t);
  const events = await generate(address);
  t.deepEqual(events[0], { type: 'start', cachedTokens: 0, computedTokens: 40 });
  const tokens = events.filter((event) => event.type === 'token');
  t.deepEqual(
    tokens.map((event) => event.index),
    [0, 1, 2, 3],
  );
  t.true(
    tokens.every(
      ({ text, index }) =>
        /^[0-9a-f]{16}\.\d+\.m1$/.test(text ?? '') && text?.split('.')[1] === String(index),
    ),
  );
  t.deepEqual(events.at(-1), { type: 'done', finish: 'length' });
});

test('a second request with the same prefix reuses its blocks', async (t) => {
  const runner = await start(t);
  await generate(runner.address);
  const [again] = await generate(runner.address, { requestId: 'r2' });
  t.deepEqual(again, { type: 'start', cachedTokens: 32, computedTokens: 8 });
  t.like(runner.stats(), { requests: 2, reusedTokens: 32, prefillTokens: 48, recomputedTokens: 0 });
  t.deepEqual(runner.stats().runs, { r1: 1, r2: 1 });
});

test('a resumed generation continues at its index and counts recomputed tokens', async (t) => {
  const first = await start(t);
  const second = await start(t, { id: 'm2' });
  const generated = (await generate(first.address, { maxTokens: 3 }))
    .filter((event) => event.type === 'token')
    .map((event) => event.text ?? '');
  const rest = await generate(second.address, { generated, maxTokens: 5 });
  t.deepEqual(
    rest.filter((event) => event.type === 'token').map((event) => event.index),
    [3, 4],
  );
  t.like(second.stats(), { recomputedTokens: 3, prefillTokens: 43, generatedTokens: 2 });
});

test('an imported KV cache avoids recomputing the prefill', async (t) => {
  const first = await start(t);
  const second = await start(t, { id: 'm2' });
  const generated = (await generate(first.address, { maxTokens: 3 }))
    .filter((event) => event.type === 'token')
    .map((event) => event.text ?? '');
  const { body: kv } = await call(`${first.address}/kv/r1`);
  t.is((await call(`${second.address}/kv`, { json: kv })).status, 201);
  const [started] = await generate(second.address, { generated, maxTokens: 5 });
  t.deepEqual(started, { type: 'start', cachedTokens: 42, computedTokens: 1 });
  t.like(second.stats(), { recomputedTokens: 1 });
  t.is((await call(`${first.address}/kv/unknown`)).status, 404);
});

test('a cancelled generation ends and releases its slot', async (t) => {
  const runner = await start(t, { maxRunning: 1 });
  await openUntilFirstToken(t, runner.address);
  t.is((await call(`${runner.address}/generate/r1`, { method: 'DELETE' })).status, 200);
  t.is((await generate(runner.address, { requestId: 'r2' })).at(-1)?.type, 'done');
  t.is(runner.stats().cancelled, 1);
  t.is((await call(`${runner.address}/generate/r1`, { method: 'DELETE' })).status, 404);
});

test('a generation is cancelled when its caller disconnects', async (t) => {
  const runner = await start(t);
  const stream = await openUntilFirstToken(t, runner.address);
  stream.close();
  await waitUntil(() => Promise.resolve(runner.stats().cancelled === 1));
  t.is(runner.stats().cancelled, 1);
});

test('cache events: sequence numbers have no gaps if no event is lost, and the events match the snapshot', async (t) => {
  const { address } = await start(t, { cacheBlocks: 2 });
  await generate(address);
  await generate(address, { prompt: promptOf(40, 'v') });
  const page = await call(`${address}/cache/events?after=0`);
  const events = page.body.events as CacheEvent[];
  t.deepEqual(
    events.map((event) => event.seq),
    events.map((_, index) => index + 1),
  );
  t.is(page.body.next, events.length);
  const cachedPrefixes = new Set<string>();
  for (const { kind, prefix } of events) {
    if (kind === 'stored') cachedPrefixes.add(prefix);
    else cachedPrefixes.delete(prefix);
  }
  const snapshot = (await call(`${address}/cache/snapshot`)).body;
  t.is(snapshot.seq, events.length);
  t.deepEqual([...cachedPrefixes].sort(), [...(snapshot.prefixes as string[])].sort());
  t.deepEqual([...cachedPrefixes].sort(), [...prefixHashes(wordsOf(40, 'v'))].sort());
});

test('cache events: lost events leave gaps and delayed events are not published yet', async (t) => {
  const lossy = await start(t, { cacheEventLossRate: 1 });
  await generate(lossy.address);
  const gaps = (await call(`${lossy.address}/cache/events?after=0`)).body;
  t.deepEqual(gaps.events, []);
  t.true((gaps.next as number) > 0);
  const late = await start(t, { cacheEventDelayMs: LONG_MS });
  await generate(late.address);
  const page = (await call(`${late.address}/cache/events?after=0`)).body;
  t.deepEqual(page, { events: [], next: 0 });
  t.true(((await call(`${late.address}/cache/snapshot`)).body.seq as number) > 0);
});

test('load reports lag behind the actual load', async (t) => {
  const lagging = await start(t, { loadLagMs: LONG_MS });
  const current = await start(t);
  await openUntilFirstToken(t, lagging.address);
  await openUntilFirstToken(t, current.address);
  t.like((await call(`${lagging.address}/load`)).body, { running: 0, leaving: false });
  t.like((await call(`${current.address}/load`)).body, { running: 1, leaving: false });
});

test('orders: an outdated fence is rejected with fencing and applied without it', async (t) => {
  const order = (fence: number) => ({ json: { fence, action: 'load', model: `m${fence}` } });
  const fencing = await start(t);
  const notFencing = await start(t, { fencing: false });
  for (const { address } of [fencing, notFencing]) {
    t.is((await call(`${address}/orders`, order(5))).status, 200);
    t.is((await call(`${address}/orders`, order(5))).status, 200);
  }
  t.is((await call(`${fencing.address}/orders`, order(4))).status, 409);
  t.is((await call(`${notFencing.address}/orders`, order(4))).status, 200);
  t.like((await call(`${fencing.address}/orders`)).body, { state: { model: 'm5' } });
  t.like((await call(`${notFencing.address}/orders`)).body, { state: { model: 'm4' } });
  const received = (await call(`${fencing.address}/control/orders`)).body.orders as unknown[];
  t.is(received.length, 3);
});

test('fault failRate: a request fails with an error event or with a status', async (t) => {
  const runner = await start(t);
  await setFault(runner.address, { failRate: 1 });
  t.is((await generate(runner.address)).at(-1)?.type, 'error');
  await setFault(runner.address, { failAs: 'status' });
  t.is((await call(`${runner.address}/generate`, { json: generationBody({}) })).status, 500);
  await setFault(runner.address, { failRate: 0 });
  t.is((await generate(runner.address)).at(-1)?.type, 'done');
  t.is(runner.stats().failed, 2);
});

test('fault failAfterTokens: a stream fails with an error event or by disconnecting', async (t) => {
  const runner = await start(t);
  await setFault(runner.address, { failRate: 1, failAfterTokens: 2 });
  const events = await generate(runner.address);
  t.deepEqual(
    events.map((event) => event.type),
    ['start', 'token', 'token', 'error'],
  );
  await setFault(runner.address, { failAs: 'disconnect' });
  await t.throwsAsync(generate(runner.address));
  t.like(runner.stats(), { failed: 2, generatedTokens: 4, cancelled: 0 });
});

test('faults unframed and cut: a stream without framing ends inside an event with an orderly close', async (t) => {
  const runner = await start(t);
  await setFault(runner.address, { unframed: true });
  t.is((await generate(runner.address)).at(-1)?.type, 'done');
  await setFault(runner.address, { failRate: 1, failAs: 'cut', failAfterTokens: 2 });
  const reply = await got.post(`http://${runner.address}/generate`, { json: generationBody({}) });
  t.is(reply.headers['content-length'], undefined);
  t.is(reply.headers['transfer-encoding'], undefined);
  t.is(reply.body.match(/\n\n/g)?.length, 3);
  t.false(reply.body.endsWith('\n'));
});

test('fault cut: a stream in chunks is cut before its last chunk', async (t) => {
  const runner = await start(t);
  await setFault(runner.address, { failRate: 1, failAs: 'cut' });
  await t.throwsAsync(generate(runner.address));
});

test('fault conditions: apply after a number of requests, with a marker or above a number of running requests', async (t) => {
  const { address } = await start(t);
  const lastEventType = async (overrides: Generation = {}) =>
    (await generate(address, overrides)).at(-1)?.type;
  await setFault(address, { failRate: 1, condition: { afterRequests: 2 } });
  t.deepEqual(
    [await lastEventType(), await lastEventType(), await lastEventType()],
    ['done', 'done', 'error'],
  );
  await setFault(address, { condition: { marker: 'reconcile' } });
  t.is(await lastEventType(), 'done');
  t.is(await lastEventType({ prompt: 'please reconcile this' }), 'error');
  await setFault(address, { condition: { aboveRunning: 0 } });
  t.is(await lastEventType(), 'done');
  await openUntilFirstToken(t, address, { requestId: 'r2' }).catch(() => undefined);
  t.is(await lastEventType(), 'error');
});

test('fault slowFactor: a stream with the marker advances more slowly than one without', async (t) => {
  const { address } = await start(t);
  await setFault(address, { slowFactor: 10, condition: { marker: 'slowly' } });
  const slow = await openUntilFirstToken(t, address, { requestId: 'slow', prompt: 'go slowly' });
  const before = slow.tokens();
  const plain = await generate(address, { requestId: 'plain', maxTokens: 100 });
  t.is(plain.at(-1)?.type, 'done');
  t.true(slow.tokens() - before < 50);
});

test('fault stall: open streams freeze, new ones work', async (t) => {
  const { address } = await start(t);
  const stream = await openUntilFirstToken(t, address, { requestId: 'old' });
  await setFault(address, { stall: true });
  t.is((await generate(address, { requestId: 'between' })).at(-1)?.type, 'done');
  const frozenAt = stream.tokens();
  t.is((await generate(address, { requestId: 'new' })).at(-1)?.type, 'done');
  t.is(stream.tokens(), frozenAt);
});

test('fault reject: requests get 503, health and load still answer', async (t) => {
  const runner = await start(t);
  await setFault(runner.address, { reject: true });
  t.is((await call(`${runner.address}/generate`, { json: generationBody({}) })).status, 503);
  t.is((await call(`${runner.address}/health`)).status, 200);
  t.is(runner.stats().requests, 0);
});

test('fault refuse: connections are refused until the fault is cleared', async (t) => {
  const runner = await start(t);
  const { address } = runner;
  await runner.setFault({ refuse: true });
  await t.throwsAsync(call(`${address}/health`), { message: /ECONNREFUSED/ });
  await runner.setFault({ refuse: false });
  t.is(runner.address, address);
  t.is((await call(`${address}/health`)).status, 200);
});

test('fault leaving: is reported in the header and the load report, and no request is refused', async (t) => {
  const { address } = await start(t);
  t.is((await call(`${address}/load`)).headers['x-runner-leaving'], undefined);
  await call(`${address}/faults`, { json: { leaving: true } });
  await waitUntil(async () => (await call(`${address}/load`)).body.leaving === true);
  const reply = await got.post(`http://${address}/generate`, { json: generationBody({}) });
  t.is(reply.headers['x-runner-leaving'], 'true');
  t.regex(reply.body, /"done"/);
});
