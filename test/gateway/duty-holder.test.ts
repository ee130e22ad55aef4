import { Writable } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { DutyTermStore } from '../../packages/gateway/src/node/duty-term-store.ts';
import { DutyHolder } from '../../packages/gateway/src/node/duty-holder.ts';

class FakePeers {
  hasHolderResigned = false;
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
}

const LEASE_MS = 60_000;

function startHolder(
  t: ExecutionContext,
  log: MemoryKeyedLog,
  isStopping = (): boolean => false,
): TestEnvironment {
  const clock = new SystemClock();
  const termStore = new DutyTermStore({ log, node: 'n1' });
  const peers = new FakePeers();
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const performedAt: number[] = [];
  const termsBegunAt: number[] = [];
  const holder = new DutyHolder({
    node: 'n1',
    termStore,
    peers,
    clock,
    log: new DecisionLog({ node: 'n1', out, clock }),
    duties: [
      {
        begin: () => {
          termsBegunAt.push(clock.monotonic());
        },
        perform: () => {
          performedAt.push(clock.monotonic());
          return Promise.resolve();
        },
      },
    ],
    leaseMs: LEASE_MS,
    isStopping,
  });
  holder.start();
  t.teardown(() => holder.close());
  return {
    termStore,
    peers,
    holder,
    performedAt,
    termsBegunAt,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
}

test('a restarted node that held the newest term acquires a new one without waiting for the lease', async (t) => {
  const log = new MemoryKeyedLog();
  const before = new DutyTermStore({ log, node: 'n1' });
  await before.takeOver();
  const { termStore, performedAt, holder } = startHolder(t, log);
  await waitUntil(() => performedAt.length > 0);
  t.true((termStore.term?.fencingToken ?? 0) > (before.term?.fencingToken ?? 0));
  t.is(holder.reportedToken, termStore.term?.fencingToken ?? -1);
});

test('a node takes over immediately from a holder that resigned, and waits before its first action', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyTermStore({ log, node: 'n2' }).takeOver();
  const { termStore, peers, performedAt, termsBegunAt } = startHolder(t, log);
  peers.dutyToken = 1;
  await new Promise((resolve) => setTimeout(resolve, 700));
  t.is(termStore.term, undefined);
  peers.dutyToken = 0;
  peers.hasHolderResigned = true;
  await waitUntil(() => performedAt.length > 0);
  t.true((performedAt[0] ?? 0) - (termsBegunAt[0] ?? Infinity) >= 950);
});

test('a holder resigns when a peer reports a newer term', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyTermStore({ log, node: 'n1' }).takeOver();
  const { termStore, peers, performedAt } = startHolder(t, log);
  await waitUntil(() => performedAt.length > 0);
  peers.dutyToken = 1_000_000;
  await waitUntil(() => termStore.term === undefined);
  t.pass();
});

test('a node that is shutting down reports that it holds no term', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyTermStore({ log, node: 'n1' }).takeOver();
  let isStopping = false;
  const { performedAt, holder } = startHolder(t, log, () => isStopping);
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
