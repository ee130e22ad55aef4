import test from 'ava';
import fc from 'fast-check';
import { Failure, SeededRandom } from '@ragwortrudder/core';
import {
  chainHash,
  GENESIS_HASH,
  GroupCommit,
  MemoryLog,
  SnapshotWriter,
} from '@ragwortrudder/log';
import type { LogFollower, LogRecord } from '@ragwortrudder/log';
import { appendAll, follower } from './parts.ts';

const NODES = 3;
const CLOCK = { wall: () => 1, monotonic: () => 1 };

type Follower = LogFollower<readonly string[]>;

/** One step of a run; `node` and `peer` are indexes of followers. */
interface Step {
  readonly kind:
    'append' | 'read' | 'offer' | 'restart' | 'expire' | 'snapshot' | 'outage' | 'mend';
  readonly node: number;
  readonly peer: number;
  readonly size: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    'append',
    'append',
    'read',
    'read',
    'offer',
    'offer',
    'restart',
    'expire',
    'snapshot',
    'outage',
    'mend',
  ),
  node: fc.nat(NODES - 1),
  peer: fc.nat(NODES - 1),
  size: fc.integer({ min: 1, max: 5 }),
});

/** A log, its followers, and the whole history of the log, which does not expire. */
class Run {
  readonly log: MemoryLog;
  readonly history: LogRecord[] = [];
  readonly nodes: Follower[];
  isDown = false;
  #written = 0;

  constructor() {
    this.log = new MemoryLog({ clock: CLOCK, faults: { down: () => this.isDown } });
    this.nodes = Array.from({ length: NODES }, () => this.#node());
  }

  async take({ kind, node, peer, size }: Step): Promise<void> {
    const one = this.nodes[node];
    const other = this.nodes[peer];
    if (!one || !other) return;
    if (kind === 'append') await this.#append(size);
    if (kind === 'read') await one.readToEnd();
    if (kind === 'offer') one.offer(copy(other.exportPrefix({ from: one.next, limit: size })));
    if (kind === 'restart') this.nodes[node] = this.#node();
    if (kind === 'expire') this.log.expire(Math.min(this.log.next, this.#retained() + size));
    if (kind === 'snapshot') await this.#snapshot(one);
    if (kind === 'outage') this.isDown = true;
    if (kind === 'mend') this.isDown = false;
  }

  #node(): Follower {
    return follower(this.log, { clock: CLOCK, tailRecords: 2, pageRecords: 3 });
  }

  #retained(): number {
    return this.log.next - this.log.records.length;
  }

  async #append(size: number): Promise<void> {
    const ids = Array.from({ length: size }, (_, index) => `e${this.#written + index}`);
    this.#written += size;
    await appendAll(this.log, ids);
    this.note();
  }

  /** Copies what is new in the log to the history. */
  note(): void {
    this.history.push(...this.log.records.filter(({ offset }) => offset >= this.history.length));
  }

  async #snapshot(one: Follower): Promise<void> {
    if (this.isDown) return;
    await one.readToEnd();
    one.start();
    const random = new SeededRandom(1);
    const writer = new GroupCommit({ log: this.log, follower: one, random });
    const options = { source: one, writer, clock: CLOCK, maxAgeMs: 0, partBytes: 40 };
    await new SnapshotWriter(options).writeIfDue();
    this.note();
    await writer.close();
    await one.close();
    const index = this.nodes.indexOf(one);
    this.nodes[index] = this.#node();
  }
}

function copy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}

function linesOf(history: readonly LogRecord[]): readonly string[] {
  const entries = history.flatMap(
    ({ body }) =>
      (body as { readonly entries: readonly { readonly id: string; readonly body: unknown }[] })
        .entries,
  );
  return entries
    .filter(({ body }) => typeof body === 'string')
    .map(({ id, body }) => `${id}=${JSON.stringify(body)}`);
}

test('through outages, retention, restarts and peers every state is that of a prefix of the log', async (t) => {
  const property = fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
    const run = new Run();
    for (const item of steps) {
      const before = [...run.nodes];
      const offsets = before.map(({ next }) => next);
      try {
        await run.take(item);
      } catch (error) {
        if (!(error instanceof Failure)) throw error;
      }
      run.nodes.forEach((node, index) => {
        if (node === before[index]) t.true(node.next >= (offsets[index] ?? 0));
        const prefix = run.history.slice(0, node.next);
        t.deepEqual(node.state, linesOf(prefix));
        t.is(node.hash, prefix.reduce(chainHash, GENESIS_HASH));
        if (node.next === 0 && run.history.length > 0 && item.kind === 'restart') {
          t.true(index !== item.node || !node.caughtUp);
        }
      });
    }
    await run.log.close();
  });
  await fc.assert(property, { seed: 21, numRuns: 150 });
});

test('a prefix changed in any field is refused or gives a prefix of the log', async (t) => {
  const log = new MemoryLog({ clock: CLOCK });
  await appendAll(log, ['a', 'b', 'c', 'd', 'e', 'f']);
  const peer = follower(log, { tailRecords: 2 });
  await peer.readToEnd();
  const whole = follower(log);
  await whole.readToEnd();
  const prefixes = [
    copy(peer.exportPrefix({ from: 0, limit: 9 })),
    copy(whole.exportPrefix({ from: 0, limit: 9 })),
    copy(whole.exportPrefix({ from: 0, limit: 3 })),
  ];
  const property = fc.property(
    fc.constantFrom(...prefixes),
    fc.nat(200),
    fc.jsonValue(),
    (prefix, leaf, value) => {
      let index = 0;
      const changed: unknown = JSON.parse(JSON.stringify(prefix), (_key, item: unknown) =>
        index++ === leaf ? value : item,
      );
      const one = follower(new MemoryLog());
      try {
        one.offer(changed);
      } catch (error) {
        if (!(error instanceof Failure)) throw error;
        t.is(one.next, 0);
        t.false(one.caughtUp);
      }
      t.deepEqual(one.state, whole.state.slice(0, one.next));
    },
  );
  fc.assert(property, { seed: 22, numRuns: 1_000 });
});
