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
import { appendAll, createFollower } from './helpers.ts';

const NODES = 3;
const CLOCK = { wall: () => 1, monotonic: () => 1 };

type Follower = LogFollower<readonly string[]>;

/** One step of a simulation; `node` and `peer` are indexes of followers. */
interface Step {
  readonly kind:
    'append' | 'read' | 'offer' | 'restart' | 'expire' | 'snapshot' | 'outage' | 'recovery';
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
    'recovery',
  ),
  node: fc.nat(NODES - 1),
  peer: fc.nat(NODES - 1),
  size: fc.integer({ min: 1, max: 5 }),
});

/** A log, its followers, and the full history of the log, which does not expire. */
class Simulation {
  readonly log: MemoryLog;
  readonly history: LogRecord[] = [];
  readonly nodes: Follower[];
  isDown = false;
  #appendedCount = 0;

  constructor() {
    this.log = new MemoryLog({ clock: CLOCK, faults: { down: () => this.isDown } });
    this.nodes = Array.from({ length: NODES }, () => this.#createFollower());
  }

  async apply({ kind, node, peer, size }: Step): Promise<void> {
    const follower = this.nodes[node];
    const other = this.nodes[peer];
    if (!follower || !other) return;
    if (kind === 'append') await this.#append(size);
    if (kind === 'read') await follower.readToEnd();
    if (kind === 'offer')
      follower.applyPrefix(cloneJson(other.exportPrefix({ from: follower.next, limit: size })));
    if (kind === 'restart') this.nodes[node] = this.#createFollower();
    if (kind === 'expire') this.log.expire(Math.min(this.log.next, this.#firstRetained() + size));
    if (kind === 'snapshot') await this.#snapshot(follower);
    if (kind === 'outage') this.isDown = true;
    if (kind === 'recovery') this.isDown = false;
  }

  #createFollower(): Follower {
    return createFollower(this.log, { clock: CLOCK, tailRecords: 2, pageRecords: 3 });
  }

  #firstRetained(): number {
    return this.log.next - this.log.records.length;
  }

  async #append(size: number): Promise<void> {
    const ids = Array.from({ length: size }, (_, index) => `e${this.#appendedCount + index}`);
    this.#appendedCount += size;
    await appendAll(this.log, ids);
    this.recordHistory();
  }

  /** Copies new records of the log to the history. */
  recordHistory(): void {
    this.history.push(...this.log.records.filter(({ offset }) => offset >= this.history.length));
  }

  async #snapshot(node: Follower): Promise<void> {
    if (this.isDown) return;
    await node.readToEnd();
    node.start();
    const random = new SeededRandom(1);
    const writer = new GroupCommit({ log: this.log, follower: node, random });
    const options = { source: node, writer, clock: CLOCK, maxAgeMs: 0, partBytes: 40 };
    await new SnapshotWriter(options).writeIfDue();
    this.recordHistory();
    await writer.close();
    await node.close();
    const index = this.nodes.indexOf(node);
    this.nodes[index] = this.#createFollower();
  }
}

function cloneJson(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value)) as unknown;
}

function expectedState(history: readonly LogRecord[]): readonly string[] {
  const entries = history.flatMap(
    ({ body }) =>
      (body as { readonly entries: readonly { readonly id: string; readonly body: unknown }[] })
        .entries,
  );
  return entries
    .filter(({ body }) => typeof body === 'string')
    .map(({ id, body }) => `${id}=${JSON.stringify(body)}`);
}

test('across outages, retention, restarts and peer exchange, every state is that of a prefix of the log', async (t) => {
  const property = fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
    const simulation = new Simulation();
    for (const item of steps) {
      const before = [...simulation.nodes];
      const offsets = before.map(({ next }) => next);
      try {
        await simulation.apply(item);
      } catch (error) {
        if (!(error instanceof Failure)) throw error;
      }
      simulation.nodes.forEach((node, index) => {
        if (node === before[index]) t.true(node.next >= (offsets[index] ?? 0));
        const prefix = simulation.history.slice(0, node.next);
        t.deepEqual(node.state, expectedState(prefix));
        t.is(node.hash, prefix.reduce(chainHash, GENESIS_HASH));
        if (node.next === 0 && simulation.history.length > 0 && item.kind === 'restart') {
          t.true(index !== item.node || !node.caughtUp);
        }
      });
    }
    await simulation.log.close();
  });
  await fc.assert(property, { seed: 21, numRuns: 150 });
});

test('a prefix modified in any field is rejected or yields a prefix of the log', async (t) => {
  const log = new MemoryLog({ clock: CLOCK });
  await appendAll(log, ['a', 'b', 'c', 'd', 'e', 'f']);
  const trimmedPeer = createFollower(log, { tailRecords: 2 });
  await trimmedPeer.readToEnd();
  const fullPeer = createFollower(log);
  await fullPeer.readToEnd();
  const prefixes = [
    cloneJson(trimmedPeer.exportPrefix({ from: 0, limit: 9 })),
    cloneJson(fullPeer.exportPrefix({ from: 0, limit: 9 })),
    cloneJson(fullPeer.exportPrefix({ from: 0, limit: 3 })),
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
      const follower = createFollower(new MemoryLog());
      try {
        follower.applyPrefix(changed);
      } catch (error) {
        if (!(error instanceof Failure)) throw error;
        t.is(follower.next, 0);
        t.false(follower.caughtUp);
      }
      t.deepEqual(follower.state, fullPeer.state.slice(0, follower.next));
    },
  );
  fc.assert(property, { seed: 22, numRuns: 1_000 });
});
