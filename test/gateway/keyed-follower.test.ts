import test from 'ava';
import type { ExecutionContext } from 'ava';
import { SeededRandom, SystemClock } from '@ragwortrudder/core';
import { LogUnavailable, MemoryKeyedLog } from '@ragwortrudder/log';
import type { KeyedLog, KeyedRecord } from '@ragwortrudder/log';
import { KeyedFollower } from '../../packages/gateway/src/node/keyed-follower.ts';

interface Bed {
  readonly follower: KeyedFollower;
  readonly records: readonly KeyedRecord[];
  readonly reads: () => number;
  readonly away: () => number;
  readonly back: () => number;
}

const PAUSE_MS = 20;

function start(t: ExecutionContext, log: KeyedLog, isReader: boolean): Bed {
  const records: KeyedRecord[] = [];
  let reads = 0;
  let away = 0;
  let back = 0;
  const counted: KeyedLog = {
    newest: (topic) => log.newest(topic),
    append: (append) => log.append(append),
    read: (read) => {
      reads += 1;
      return log.read(read);
    },
  };
  const follower = new KeyedFollower({
    log: counted,
    topic: 'topic',
    clock: new SystemClock(),
    random: new SeededRandom(1),
    waitMs: 0,
    pauseMs: PAUSE_MS,
    isReader: () => isReader,
    onWhole: (whole) => records.push(...whole),
    onRecords: (more) => records.push(...more),
    onRange: () => undefined,
    onAway: () => {
      away += 1;
    },
    onBack: () => {
      back += 1;
    },
  });
  follower.start();
  t.teardown(() => follower.close());
  return { follower, records, reads: () => reads, away: () => away, back: () => back };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

function record(key: string, offset: number): KeyedRecord {
  return { key, value: Buffer.from(key), offset };
}

async function logWith(...keys: readonly string[]): Promise<MemoryKeyedLog> {
  const log = new MemoryKeyedLog();
  for (const key of keys) await log.append({ topic: 'topic', key, value: Buffer.from(key) });
  return log;
}

test('pattern: many nodes; one that is told what a reader reads does not read itself', async (t) => {
  const { follower, reads } = start(t, await logWith('a'), false);
  await until(() => reads() > 0);
  follower.offer({ from: 1, next: 1 }, [], true);
  const before = reads();
  for (let round = 0; round < 10; round += 1) {
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    follower.offer({ from: 1, next: 1 }, [], true);
  }
  t.true(reads() <= before + 1, `${before}, ${reads()}`);
});

test('two readers do not both stop to read because each is told by the other', async (t) => {
  const { follower, reads } = start(t, await logWith('a'), true);
  await until(() => reads() > 0);
  const before = reads();
  follower.offer({ from: 1, next: 1 }, [], true);
  await until(() => reads() > before + 2);
  t.pass();
});

test('pattern: the log turns one node away; it follows what a peer reads', async (t) => {
  const log = await logWith('a');
  let isAway = false;
  const turning: KeyedLog = {
    newest: (topic) => log.newest(topic),
    append: (append) => log.append(append),
    read: (read) => {
      if (isAway) return Promise.reject(new LogUnavailable('turned away'));
      return log.read(read);
    },
  };
  const { follower, records, away, back } = start(t, turning, true);
  await until(() => records.length === 1);
  isAway = true;
  await until(() => away() === 1);
  follower.offer({ from: 1, next: 2 }, [record('b', 1)], true);
  t.deepEqual(
    records.map(({ key }) => key),
    ['a', 'b'],
  );
  t.is(back(), 1);
});
