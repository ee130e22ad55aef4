import { Writable } from 'node:stream';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SystemClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DecisionLog } from '../../packages/gateway/src/node/decision-log.ts';
import { DutyBoard } from '../../packages/gateway/src/node/duty-board.ts';
import { DutyHolder } from '../../packages/gateway/src/node/duty-holder.ts';

class HeardPeers {
  hasHolderResigned = false;
  duty = 0;

  heardIds(): readonly string[] {
    return [];
  }

  newestDuty(): number {
    return this.duty;
  }
}

interface Bed {
  readonly board: DutyBoard;
  readonly peers: HeardPeers;
  readonly holder: DutyHolder;
  readonly acts: readonly number[];
  /** When terms were taken. */
  readonly begun: readonly number[];
}

const LEASE_MS = 60_000;

function start(t: ExecutionContext, log: MemoryKeyedLog, isStopping = (): boolean => false): Bed {
  const clock = new SystemClock();
  const board = new DutyBoard({ log, node: 'n1' });
  const peers = new HeardPeers();
  const out = new Writable({
    write: (_chunk, _encoding, done) => {
      done();
    },
  });
  const acts: number[] = [];
  const begun: number[] = [];
  const holder = new DutyHolder({
    node: 'n1',
    board,
    peers,
    clock,
    log: new DecisionLog({ node: 'n1', out, clock }),
    duties: [
      {
        begin: () => {
          begun.push(clock.monotonic());
        },
        perform: () => {
          acts.push(clock.monotonic());
          return Promise.resolve();
        },
      },
    ],
    leaseMs: LEASE_MS,
    isStopping,
  });
  holder.start();
  t.teardown(() => holder.close());
  return { board, peers, holder, acts, begun };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10));
}

test('a node that held the newest term takes it again at its start, without waiting for the lease', async (t) => {
  const log = new MemoryKeyedLog();
  const before = new DutyBoard({ log, node: 'n1' });
  await before.takeOver();
  const { board, acts, holder } = start(t, log);
  await until(() => acts.length > 0);
  t.true((board.term?.fencingToken ?? 0) > (before.term?.fencingToken ?? 0));
  t.is(holder.toldToken, board.term?.fencingToken ?? -1);
});

test('a node takes over at once from a holder that resigned, and waits before it acts', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyBoard({ log, node: 'n2' }).takeOver();
  const { board, peers, acts, begun } = start(t, log);
  peers.duty = 1;
  await new Promise((resolve) => setTimeout(resolve, 700));
  t.is(board.term, undefined);
  peers.duty = 0;
  peers.hasHolderResigned = true;
  await until(() => acts.length > 0);
  t.true((acts[0] ?? 0) - (begun[0] ?? Infinity) >= 950);
});

test('a holder gives way to a newer term that a peer tells', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyBoard({ log, node: 'n1' }).takeOver();
  const { board, peers, acts } = start(t, log);
  await until(() => acts.length > 0);
  peers.duty = 1_000_000;
  await until(() => board.term === undefined);
  t.pass();
});

test('a stopping node tells that it holds no term', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyBoard({ log, node: 'n1' }).takeOver();
  let isStopping = false;
  const { acts, holder } = start(t, log, () => isStopping);
  await until(() => acts.length > 0);
  t.true(holder.toldToken > 0);
  isStopping = true;
  t.is(holder.toldToken, 0);
});

test('pattern: start of a new deployment; the first term is taken without waiting for a lease', async (t) => {
  const { acts, board } = start(t, new MemoryKeyedLog());
  await until(() => acts.length > 0);
  t.truthy(board.term);
});
