import test from 'ava';
import { StatedLimits } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { rendezvousOrder } from '@ragwortrudder/routing';

const RUNNER = 'r 1';
const WINDOW_MS = 4_000;
const STEP_MS = 10;
const REPORT_PERIOD_MS = 200;
const LOSS = 0.02;

interface Options {
  readonly seed: number;
  readonly nodes: number;
  readonly limit: number;
  /** Requests that could go to the runner, per second, at all nodes. */
  readonly perS: number;
  readonly lengthMs?: number;
  /** Nodes that join, leave without a word, or are cut off from the others, with the times. */
  readonly joinAt?: readonly (readonly [string, number])[];
  readonly dieAt?: readonly (readonly [string, number])[];
  readonly cut?: { readonly node: string; readonly fromMs: number; readonly untilMs: number };
}

interface Sent {
  readonly at: number;
  readonly node: string;
}

const PEER_TIMEOUT_MS = 1_000;
const PEER_EXPIRY_MS = 15_000;

/** Plays nodes that send as much as the limit lets them; the runner states it in each response. */
function simulate(options: Options): readonly Sent[] {
  const { seed, limit, perS, lengthMs = 30_000, joinAt = [], dieAt = [], cut } = options;
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const create = (node: string): StatedLimits =>
    new StatedLimits({
      clock,
      node,
      rank: (runner, all) => rendezvousOrder(runner, all, (id) => id),
    });
  const nodes = new Map(
    Array.from({ length: options.nodes }, (_item, index) => [`n${index}`, create(`n${index}`)]),
  );
  const heard = new Map<string, Map<string, number>>();
  const sent: Sent[] = [];
  const isCut = (a: string, b: string): boolean =>
    cut !== undefined &&
    (a === cut.node || b === cut.node) &&
    clock.monotonic() >= cut.fromMs &&
    clock.monotonic() < cut.untilMs;
  while (clock.monotonic() < lengthMs) {
    clock.advance(STEP_MS);
    const now = clock.monotonic();
    for (const [node, at] of joinAt) if (at === now) nodes.set(node, create(node));
    for (const [node, at] of dieAt) if (at === now) nodes.delete(node);
    if (now % REPORT_PERIOD_MS === 0) {
      for (const [from, sender] of nodes) {
        for (const [to, receiver] of nodes) {
          if (from === to || isCut(from, to) || random.next() < LOSS) continue;
          receiver.setPeerLimits(sender.own);
          heard.set(to, (heard.get(to) ?? new Map<string, number>()).set(from, now));
        }
      }
      for (const [node, limits] of nodes) {
        const times = [...(heard.get(node) ?? [])];
        const reachable = times.filter(([, at]) => now - at < PEER_TIMEOUT_MS).map(([id]) => id);
        const known = times.filter(([, at]) => now - at < PEER_EXPIRY_MS).length;
        limits.setNodes([node, ...reachable], known + 1);
      }
    }
    const list = [...nodes];
    for (const [node, limits] of list) {
      if (random.next() >= (perS * STEP_MS) / 1_000 / list.length) continue;
      if (!limits.mayTake(RUNNER)) continue;
      limits.take(RUNNER);
      limits.record(RUNNER, limit);
      sent.push({ at: now, node });
    }
  }
  return sent;
}

function mostInWindow(sent: readonly Sent[], fromMs: number): number {
  const times = sent.map(({ at }) => at).filter((at) => at >= fromMs);
  return Math.max(
    0,
    ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length),
  );
}

function bound(limit: number): number {
  return 1.5 * limit * (WINDOW_MS / 1_000) + 5;
}

const LIMITS = [0.2, 1, 1.5, 3, 8, 40];

test('pattern: any limit and number of nodes; all nodes together keep to it', (t) => {
  for (const nodes of [1, 3, 9, 84]) {
    for (const limit of LIMITS) {
      const sent = simulate({ seed: nodes, nodes, limit, perS: 300 });
      const most = mostInWindow(sent, 3_000);
      t.true(most <= bound(limit), `${nodes} nodes, limit ${limit}: ${most}`);
    }
  }
});

test('a runner with a limit keeps most of its share', (t) => {
  for (const nodes of [1, 3, 9, 84]) {
    for (const limit of LIMITS.slice(1)) {
      const sent = simulate({ seed: 5, nodes, limit, perS: 400 });
      const perS = sent.filter(({ at }) => at >= 5_000).length / 25;
      t.true(perS >= 0.6 * limit, `${nodes} nodes, limit ${limit}: ${perS} a second`);
    }
  }
});

test('nodes that join or die do not take the others over a limit', (t) => {
  for (const limit of LIMITS) {
    const sent = simulate({
      seed: 3,
      nodes: 9,
      limit,
      perS: 300,
      joinAt: [
        ['x1', 8_000],
        ['x2', 8_200],
        ['x3', 12_000],
      ],
      dieAt: [
        ['n1', 10_000],
        ['n2', 10_000],
        ['x1', 14_000],
      ],
    });
    const joined = new Set(['x1', 'x2', 'x3']);
    const most = mostInWindow(
      sent.filter(({ node }) => !joined.has(node)),
      3_000,
    );
    t.true(most <= bound(limit), `limit ${limit}: ${most}`);
  }
});

test('a node that is cut off keeps to its part, and no node exceeds the limit when it is back', (t) => {
  for (const limit of LIMITS) {
    const cut = { node: 'n4', fromMs: 10_000, untilMs: 16_000 };
    const sent = simulate({ seed: 4, nodes: 9, limit, perS: 300, cut });
    const most = mostInWindow(sent, 3_000);
    t.true(most <= bound(limit), `limit ${limit}: ${most}`);
  }
});

function createLimits(clock: ManualClock, node: string): StatedLimits {
  return new StatedLimits({ clock, node, rank: (_runner, nodes) => nodes });
}

test('the end of a limit reaches the nodes that send nothing to the runner', (t) => {
  const clock = new ManualClock();
  const [sender, idle] = [createLimits(clock, 'n1'), createLimits(clock, 'n2')];
  sender.record(RUNNER, 1);
  idle.setPeerLimits(sender.own);
  idle.setNodes(['n1', 'n2'], 2);
  t.is(idle.limitOf(RUNNER), 1);
  clock.advance(500);
  sender.record(RUNNER, undefined);
  clock.advance(200);
  idle.setPeerLimits(sender.own);
  t.is(idle.limitOf(RUNNER), undefined);
  t.true(idle.mayTake(RUNNER));
  clock.advance(20_000);
  t.deepEqual(sender.own, []);
});

test('an older statement of a peer does not replace a newer one', (t) => {
  const clock = new ManualClock();
  const [early, late] = [createLimits(clock, 'n1'), createLimits(clock, 'n2')];
  early.record(RUNNER, 5);
  const stale = early.own;
  clock.advance(100);
  late.record(RUNNER, 1);
  late.setPeerLimits(stale.map((limit) => ({ ...limit, ageMs: limit.ageMs + 100 })));
  t.is(late.limitOf(RUNNER), 1);
});

test('a limit of 0 still lets a request pass now and then, which finds its end', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock, 'n1');
  limits.record(RUNNER, 0);
  t.false(limits.mayTake(RUNNER));
  clock.advance(10_000);
  t.true(limits.mayTake(RUNNER));
});

test('statements of other failure domains are followed but not passed on', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock, 'n1');
  limits.setDomainLimits([{ runner: RUNNER, perSecond: 2, ageMs: 50 }]);
  t.is(limits.limitOf(RUNNER), 2);
  t.deepEqual(limits.ofDomain, []);
  limits.setPeerLimits([{ runner: RUNNER, perSecond: 3, ageMs: 10 }]);
  t.deepEqual(limits.ofDomain, [{ runner: RUNNER, perSecond: 3, ageMs: 10 }]);
  t.deepEqual(limits.own, []);
  limits.retain(new Set());
  t.is(limits.limitOf(RUNNER), undefined);
});
