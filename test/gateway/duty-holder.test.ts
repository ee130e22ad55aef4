import { Writable } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import type { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { createTermStore } from './create-term-store.ts';
import { DutyHolder } from '../../packages/gateway/src/node/duty-holder.ts';

class FakePeers {
  resignedDutyToken: number | undefined;
  dutyToken = 0;

  reachableIds(): readonly string[] {
    return [];
  }

  newestDutyToken(): number {
    return this.dutyToken;
  }
}

interface TestEnvironment {
  readonly termStore: DutyTermStore;
  readonly peers: FakePeers;
  readonly holder: DutyHolder;
  readonly performedAt: readonly number[];
  /** Times at which terms were acquired. */
  readonly termsBegunAt: readonly number[];
  /** Times at which an active holder was found that no peer tells of. */
  readonly unheard: readonly number[];
}

const LEASE_MS = 60_000;

interface StartOptions {
  /** @default never */
  readonly isStopping?: () => boolean;
  /** @default 'n1' */
  readonly node?: string;
  /** The duties fail. */
  readonly isFailing?: () => boolean;
  /** @default 60000 */
  readonly leaseMs?: number;
}

function startHolder(
  t: ExecutionContext,
  log: MemoryKeyedLog,
  options: StartOptions = {},
): TestEnvironment {
  const { isStopping = (): boolean => false, isFailing = (): boolean => false } = options;
  const { node = 'n1', leaseMs = LEASE_MS } = options;
  const clock = new SystemClock();
  const unheard: number[] = [];
  const termStore = createTermStore({ log, node, leaseMs });
  const peers = new FakePeers();
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const performedAt: number[] = [];
  const termsBegunAt: number[] = [];
  const holder = new DutyHolder({
    node,
    termStore,
    peers,
    clock,
    log: new DecisionLog({ node, out, clock }),
    duties: [
      {
        begin: () => {
          termsBegunAt.push(clock.monotonic());
        },
        perform: () => {
          performedAt.push(clock.monotonic());
          return isFailing() ? Promise.reject(new Error('call failed')) : Promise.resolve();
        },
      },
    ],
    leaseMs,
    isStopping,
    onUnheardHolder: () => {
      unheard.push(clock.monotonic());
    },
  });
  holder.start();
  t.teardown(() => holder.close());
  return {
    termStore,
    peers,
    holder,
    performedAt,
    termsBegunAt,
    unheard,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
}

test('a restarted node that held the newest term acquires a new one without waiting for the lease', async (t) => {
  const log = new MemoryKeyedLog();
  const before = createTermStore({ log, node: 'n1' });
  await before.takeOver();
  const { termStore, performedAt, holder } = startHolder(t, log);
  await waitUntil(() => performedAt.length > 0);
  t.true((termStore.term?.fencingToken ?? 0) > (before.term?.fencingToken ?? 0));
  t.is(holder.reportedToken, termStore.term?.fencingToken ?? -1);
});

test('a node takes over immediately from a holder that resigned, and waits before its first action', async (t) => {
  const log = new MemoryKeyedLog();
  await createTermStore({ log, node: 'n2' }).takeOver();
  const { termStore, peers, performedAt, termsBegunAt } = startHolder(t, log);
  peers.dutyToken = 1;
  await new Promise((resolve) => setTimeout(resolve, 700));
  t.is(termStore.term, undefined);
  peers.dutyToken = 0;
  peers.resignedDutyToken = 1;
  await waitUntil(() => performedAt.length > 0);
  t.true((performedAt[0] ?? 0) - (termsBegunAt[0] ?? Infinity) >= 950);
});

test('a holder resigns when a peer reports a newer term', async (t) => {
  const log = new MemoryKeyedLog();
  await createTermStore({ log, node: 'n1' }).takeOver();
  const { termStore, peers, performedAt } = startHolder(t, log);
  await waitUntil(() => performedAt.length > 0);
  peers.dutyToken = 1_000_000;
  await waitUntil(() => termStore.term === undefined);
  t.pass();
});

test('a node that is shutting down reports that it holds no term', async (t) => {
  const log = new MemoryKeyedLog();
  await createTermStore({ log, node: 'n1' }).takeOver();
  let isStopping = false;
  const { performedAt, holder } = startHolder(t, log, { isStopping: () => isStopping });
  await waitUntil(() => performedAt.length > 0);
  t.true(holder.reportedToken > 0);
  isStopping = true;
  t.is(holder.reportedToken, 0);
});

test('pattern: start of a new deployment; the first term is acquired without waiting for a lease', async (t) => {
  const { performedAt, termStore } = startHolder(t, new MemoryKeyedLog());
  await waitUntil(() => performedAt.length > 0);
  t.truthy(termStore.term);
});

// Guards against two holders that act in turn where nodes do not know each other (ONE).
test('pattern: holder that no peer tells of; a node leaves it the term while it records its actions', async (t) => {
  const log = new MemoryKeyedLog();
  const other = createTermStore({ log, node: 'n2' });
  await other.takeOver();
  const { termsBegunAt, unheard } = startHolder(t, log, { leaseMs: 1_000 });
  for (let count = 0; count < 12; count += 1) {
    t.true(await other.record('usage-7', { window: count, counts: {} }));
    await new Promise((resolve) => setTimeout(resolve, 300));
  }
  t.is(termsBegunAt.length, 0);
  t.true(unheard.length > 0);
  await waitUntil(() => termsBegunAt.length > 0);
});

// Guards against two holders that act in turn where nodes do not know each other (ONE).
test('pattern: nodes that do not hear each other; no holder acts again within the lease of another one', async (t) => {
  const log = new MemoryKeyedLog();
  const leaseMs = 1_500;
  const strangers = ['n1', 'n2', 'n3'].map((node) => startHolder(t, log, { node, leaseMs }));
  await new Promise((resolve) => setTimeout(resolve, 10_000));
  const acts = strangers
    .flatMap(({ performedAt }, node) => performedAt.map((at) => ({ node, at })))
    .toSorted((a, b) => a.at - b.at);
  t.true(acts.length > 10);
  for (const [index, act] of acts.entries()) {
    const other = acts.slice(0, index).findLastIndex(({ node }) => node !== act.node);
    const before = acts.slice(0, Math.max(0, other)).findLast(({ node }) => node === act.node);
    t.false(before !== undefined && act.at - before.at <= leaseMs);
  }
});

// Guards against a loser that takes the term back at once (ONE).
test('pattern: holder that lost its term; it waits for a lease although the next holder resigns', async (t) => {
  const log = new MemoryKeyedLog();
  const leaseMs = 2_000;
  const { termStore, peers, performedAt } = startHolder(t, log, { leaseMs });
  await waitUntil(() => performedAt.length > 0);
  const other = createTermStore({ log, node: 'n2' });
  await other.takeOver();
  await waitUntil(() => termStore.term === undefined);
  const lastAct = performedAt.at(-1) ?? NaN;
  const count = performedAt.length;
  peers.resignedDutyToken = other.term?.fencingToken;
  await waitUntil(() => performedAt.length > count);
  t.true((performedAt[count] ?? 0) - lastAct >= leaseMs);
});

// Guards against taking over without a wait from a holder other than the one that resigned (ONE).
test('pattern: holder that resigned was replaced by one that is not heard; its lease is awaited', async (t) => {
  const log = new MemoryKeyedLog();
  await createTermStore({ log, node: 'n2' }).takeOver();
  await createTermStore({ log, node: 'n3' }).takeOver();
  const { termsBegunAt, peers } = startHolder(t, log);
  peers.resignedDutyToken = 1;
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  t.is(termsBegunAt.length, 0);
});

// Guards against an idle holder that another node takes for gone (ONE).
test('a holder that has nothing to record renews its term within the lease', async (t) => {
  const log = new MemoryKeyedLog();
  const leaseMs = 1_500;
  const { performedAt } = startHolder(t, log, { leaseMs });
  await waitUntil(() => performedAt.length > 0);
  const { next } = await log.newest('duties');
  await new Promise((resolve) => setTimeout(resolve, leaseMs));
  t.true((await log.newest('duties')).next > next);
});

// Guards against a holder that peers take for resigned and that still acts (ONE).
test('a holder whose duties go on failing gives up its term', async (t) => {
  const { termStore, performedAt, holder } = startHolder(t, new MemoryKeyedLog(), {
    isFailing: () => true,
  });
  await waitUntil(() => performedAt.length >= 5);
  await waitUntil(() => termStore.term === undefined);
  t.is(holder.reportedToken, 0);
  const count = performedAt.length;
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  t.is(performedAt.length, count);
});
