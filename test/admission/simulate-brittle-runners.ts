import { BrittleRunners } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { rendezvousOrder } from '@ragwortrudder/routing';

interface BrittlePattern {
  readonly seed: number;
  readonly nodes: number;
  readonly runners: number;
  readonly slots: number;
  /** Requests that may wait at a brittle runner. */
  readonly queue: number;
  /** Rejections in a second that a runner bears. */
  readonly most: number;
  /** Offered work, as a multiple of what the runners can work off. */
  readonly load: number;
  readonly workMs: number;
  /** Time at which the runners begin to say that they are brittle. */
  readonly brittleAtMs?: number;
  readonly lengthMs?: number;
  /** Node that is restarted, and when. */
  readonly restart?: { readonly node: number; readonly atMs: number };
  /** Node that hears no other one for a time. */
  readonly cut?: { readonly node: number; readonly fromMs: number; readonly untilMs: number };
  /** The first node gets as many requests as this many others. */
  readonly hotness?: number;
}

interface BrittleResult {
  readonly falls: number;
  readonly offered: number;
  readonly served: number;
  /** Requests that the runners could have worked off in the time, were they always up. */
  readonly capacity: number;
}

const LINK_MS = 1;
const REPORT_MS = 200;
const DOWN_MS = 3_000;
/** Time after the first statement from which fewer may wait and runners may fall over. */
const CONTACT_MS = 3_000;
const USUAL_QUEUE = 16;
const SETTLED_MS = 2_000;
const WINDOW_MS = 1_000;

class SimulatedRunner {
  readonly slot: number;
  boot = 1;
  upAt = 0;
  running = 0;
  waiting: readonly SimulatedNode[] = [];
  rejectedAt: readonly number[] = [];

  constructor(slot: number) {
    this.slot = slot;
  }
}

class SimulatedNode {
  readonly id: string;
  brittle: BrittleRunners;
  startedAt = -SETTLED_MS;
  life = 1;
  /** Requests in progress by runner. */
  readonly own = new Map<number, number>();
  /** Newest reports of the others: their requests by runner. */
  readonly peers = new Map<string, ReadonlyMap<number, number>>();

  constructor(id: string, createBrittle: (node: SimulatedNode) => BrittleRunners) {
    this.id = id;
    this.brittle = createBrittle(this);
  }
}

/** Plays nodes that share brittle runners; the nodes learn of each other by reports only. */
export function simulateBrittleRunners(pattern: BrittlePattern): BrittleResult {
  const { seed, slots, most, workMs, load, hotness = 1 } = pattern;
  const { brittleAtMs = 1_000, lengthMs = 12_000, restart, cut } = pattern;
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const events = new Map<number, (() => void)[]>();
  const at = (time: number, run: () => void): void => {
    const key = Math.max(Math.ceil(time), clock.monotonic() + 1);
    events.set(key, [...(events.get(key) ?? []), run]);
  };
  const runners = Array.from(
    { length: pattern.runners },
    (_item, slot) => new SimulatedRunner(slot),
  );
  const keyOf = ({ slot, boot }: SimulatedRunner): string => `r${slot} ${boot}`;
  const nodes: SimulatedNode[] = [];
  const isCut = (node: SimulatedNode): boolean => {
    if (!cut || nodes[cut.node] !== node) return false;
    const now = clock.monotonic();
    return now >= cut.fromMs && now < cut.untilMs;
  };
  const publish = (node: SimulatedNode): void => {
    const { id, life } = node;
    const report = node.brittle.report;
    const own = new Map(node.own);
    for (const peer of nodes) {
      if (peer === node || isCut(node) || isCut(peer)) continue;
      at(clock.monotonic() + LINK_MS, () => {
        peer.brittle.setPeerReport(`${id} ${life}`, report);
        peer.peers.set(id, own);
      });
    }
  };
  const create = (node: SimulatedNode): BrittleRunners =>
    new BrittleRunners({
      clock,
      node: node.id,
      rank: (runner, ids) => rendezvousOrder(runner, ids, (item) => item),
      onChange: () => {
        publish(node);
      },
    });
  for (let index = 0; index < pattern.nodes; index += 1) {
    nodes.push(new SimulatedNode(`n${index}`, create));
  }
  let falls = 0;
  let offered = 0;
  let served = 0;
  const isBrittle = (): boolean => clock.monotonic() >= brittleAtMs;
  const isFragile = (): boolean => clock.monotonic() >= brittleAtMs + CONTACT_MS;
  const answer = (node: SimulatedNode, runner: SimulatedRunner, run: () => void): void => {
    const { life } = node;
    const key = keyOf(runner);
    at(clock.monotonic() + LINK_MS, () => {
      if (node.life !== life || keyOf(runner) !== key) return;
      node.own.set(runner.slot, (node.own.get(runner.slot) ?? 0) - 1);
      node.brittle.record(key, isBrittle() ? most : undefined);
      run();
    });
  };
  const start = (runner: SimulatedRunner, node: SimulatedNode): void => {
    const { boot } = runner;
    runner.running += 1;
    at(clock.monotonic() + workMs, () => {
      if (runner.boot !== boot) return;
      runner.running -= 1;
      served += 1;
      answer(node, runner, () => undefined);
      const [next, ...waiting] = runner.waiting;
      runner.waiting = waiting;
      if (next) start(runner, next);
    });
  };
  const fall = (runner: SimulatedRunner): void => {
    falls += 1;
    runner.boot += 1;
    runner.upAt = clock.monotonic() + DOWN_MS;
    runner.running = 0;
    runner.waiting = [];
    runner.rejectedAt = [];
    for (const node of nodes) node.own.delete(runner.slot);
  };
  const arrive = (runner: SimulatedRunner, boot: number, node: SimulatedNode): void => {
    if (runner.boot !== boot) return;
    const now = clock.monotonic();
    const room = isFragile() ? pattern.queue : USUAL_QUEUE;
    if (runner.running < slots) start(runner, node);
    else if (runner.waiting.length < room) runner.waiting = [...runner.waiting, node];
    else {
      const occupied = runner.running + runner.waiting.length;
      const key = keyOf(runner);
      answer(node, runner, () => {
        node.brittle.recordRejection(key, occupied);
      });
      runner.rejectedAt = [...runner.rejectedAt.filter((time) => now - time < WINDOW_MS), now];
      if (isFragile() && runner.rejectedAt.length > most) fall(runner);
    }
  };
  const send = (node: SimulatedNode): void => {
    offered += 1;
    const now = clock.monotonic();
    let chosen: SimulatedRunner | undefined;
    let lowest = Infinity;
    for (const runner of runners) {
      if (runner.upAt > now) continue;
      const own = node.own.get(runner.slot) ?? 0;
      const others = [...node.peers.values()].map((peer) => peer.get(runner.slot) ?? 0);
      const total = others.reduce((sum, count) => sum + count, own);
      const use = { runner: keyOf(runner), service: 's', slots, own, total };
      if (total + random.next() >= lowest || !node.brittle.mayTake(use)) continue;
      lowest = total;
      chosen = runner;
    }
    if (!chosen) return;
    const runner = chosen;
    const { boot } = runner;
    node.own.set(runner.slot, (node.own.get(runner.slot) ?? 0) + 1);
    at(now + LINK_MS, () => {
      arrive(runner, boot, node);
    });
  };
  const perMs = (load * pattern.runners * slots) / workMs;
  const weights = nodes.map((_node, index) => (index === 0 ? hotness : 1));
  const weight = weights.reduce((sum, item) => sum + item, 0);
  for (let now = 1; now <= lengthMs; now += 1) {
    clock.advance(1);
    for (const run of events.get(now) ?? []) run();
    events.delete(now);
    if (restart?.atMs === now) {
      const node = nodes[restart.node];
      if (node) {
        node.life += 1;
        node.own.clear();
        node.peers.clear();
        node.brittle = create(node);
        node.startedAt = now;
      }
    }
    for (const [index, node] of nodes.entries()) {
      if ((now + index * 17) % REPORT_MS === 0) {
        publish(node);
        const reachable = isCut(node) ? [node.id] : nodes.map(({ id }) => id);
        const isSettled = now - node.startedAt >= SETTLED_MS;
        node.brittle.setNodes({ reachable, knownCount: nodes.length, isSettled });
        const listed = runners.filter(({ upAt }) => upAt <= now).map(keyOf);
        if (!node.brittle.isEmpty) node.brittle.setListed(new Map([['s', listed]]));
      }
      const mean = (perMs * (weights[index] ?? 1)) / weight;
      for (let left = Math.exp(-mean), product = random.next(); product > left;) {
        send(node);
        product *= random.next();
      }
    }
  }
  return { falls, offered, served, capacity: (lengthMs * pattern.runners * slots) / workMs };
}
