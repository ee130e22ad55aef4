import test from 'ava';
import { ReadTurns } from '../../packages/gateway/src/utils/read-turns.ts';

const READ_MS = 20;
const DURATION_MS = 10_000;

/** Runs what is scheduled in order of its time; what takes time lets the time pass. */
class SimulatedTime {
  now = 0;
  #tasks: { readonly at: number; readonly run: () => void }[] = [];

  readonly schedule = (run: () => void, delayMs: number): void => {
    this.#tasks.push({ at: this.now + delayMs, run });
  };

  runUntil(end: number): void {
    for (;;) {
      const [next] = this.#tasks.toSorted((a, b) => a.at - b.at);
      if (!next || next.at > end) break;
      this.#tasks = this.#tasks.filter((task) => task !== next);
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = Math.max(this.now, end);
  }
}

/** A connection that always has bytes whose handling takes `READ_MS`. */
class CostlyConnection {
  readCount = 0;
  isHeld = false;
  isClosed = false;

  constructor(
    readonly time: SimulatedTime,
    readonly turns: ReadTurns,
  ) {}

  hold(): void {
    this.isHeld = true;
  }

  release(): void {
    this.isHeld = false;
    if (!this.isClosed) this.time.schedule(this.read, 0);
  }

  readonly read = (): void => {
    this.readCount += 1;
    this.time.now += READ_MS;
    this.turns.addCost(READ_MS);
    this.turns.hold(this);
  };
}

function connectionsOf(count: number): {
  readonly time: SimulatedTime;
  readonly turns: ReadTurns;
  readonly connections: readonly CostlyConnection[];
} {
  const time = new SimulatedTime();
  const turns = new ReadTurns(time);
  const connections = Array.from({ length: count }, () => new CostlyConnection(time, turns));
  for (const connection of connections) time.schedule(connection.read, 0);
  return { time, turns, connections };
}

// Guards against costly connections that take the time of all others, however many they are.
for (const count of [1, 16, 100]) {
  test(`costly reads of ${count} connections leave a fifth of the time, in turn`, (t) => {
    const { time, connections } = connectionsOf(count);
    time.runUntil(DURATION_MS);
    const counts = connections.map(({ readCount }) => readCount);
    const busyMs = counts.reduce((sum, reads) => sum + reads * READ_MS, 0);
    t.true(busyMs <= 0.8 * DURATION_MS + count * READ_MS, `${busyMs} ms`);
    t.true(busyMs >= DURATION_MS / 2, `${busyMs} ms`);
    t.true(Math.max(...counts) - Math.min(...counts) <= 1, counts.join(' '));
  });
}

test('a connection that ends leaves its turn to the next one', (t) => {
  const { time, turns, connections } = connectionsOf(3);
  time.runUntil(READ_MS);
  const [first, ...others] = connections;
  if (!first) throw new Error('no connection');
  first.isClosed = true;
  turns.remove(first);
  t.false(first.isHeld);
  time.runUntil(DURATION_MS);
  t.is(first.readCount, 1);
  t.true(others.every(({ readCount }) => readCount > 50));
});
