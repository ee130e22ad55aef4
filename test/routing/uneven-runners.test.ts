import test from 'ava';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { drawCandidates, placeApplicationRequest, RunnerSpeeds } from '@ragwortrudder/routing';
import type { PlacementCandidate } from '@ragwortrudder/routing';

interface FleetOptions {
  readonly seed: number;
  readonly forMs: number;
  readonly exchange: Exchange;
  /**
   * Time that a request takes at a runner of speed 1, in milliseconds; 400 use about four fifths of the slots.
   * @default 400
   */
  readonly usualMs?: number;
}

/** Passes on what nodes report. */
type Exchange = (nodes: readonly RunnerSpeeds[]) => void;

interface PlayedFleet {
  readonly nodes: readonly RunnerSpeeds[];
  /** Part of the requests of the last second that went to slow runners. */
  readonly slowShare: number;
}

interface PendingResponse {
  readonly node: number;
  readonly runner: string;
  readonly at: number;
  readonly tookMs: number;
}

const NODES = 60;
const RUNNERS = 60;
const SPEEDS: readonly number[] = [0.7, 0.7, 1.7];
const REQUESTS_PER_S = 7;
const TICK_MS = 10;
const REPORT_MS = 200;
const USUAL_MS = 400;
const SLOTS = 4;
const SERVICE = 's';
const runners = Array.from({ length: RUNNERS }, (_, index) => `r${index} 1`);
const indexes = runners.map((_, index) => index);

function speedOf(index: number): number {
  return SPEEDS[index % SPEEDS.length] ?? 1;
}

function candidateOf(id: string, slowness: number, inFlight = 0): PlacementCandidate {
  return {
    ...{ id, failureDomain: 'a', slots: SLOTS, inFlight, slowness },
    ...{ prefillTokens: 0, kvTokens: 0, kvCapacityTokens: 0 },
  };
}

function place(
  speeds: RunnerSpeeds,
  random: SeededRandom,
  inFlight: ReadonlyMap<string, number>,
): string {
  const drawn = drawCandidates({
    ...{ items: runners, kept: [], count: 4, random },
    weightOf: (runner) => Math.min(1, 0.5 / speeds.slownessOf(runner)),
    isUsable: () => true,
  });
  const candidates = drawn.map((runner) =>
    candidateOf(runner, speeds.slownessOf(runner), inFlight.get(runner)),
  );
  return placeApplicationRequest('a', candidates, random) ?? '';
}

/**
 * Nodes that send 7 requests a second each, and report to each other. The runners share their machines:
 * for 600 ms at a time, 15 in 100 of the time, work takes 2.5 times as long.
 */
function playFleet({ seed, forMs, exchange, usualMs = USUAL_MS }: FleetOptions): PlayedFleet {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const nodes = Array.from({ length: NODES }, () => new RunnerSpeeds({ clock }));
  for (const node of nodes) node.recordMomentary(SERVICE, 'none 1', 1);
  // In flight at the last report, and sent by each node since.
  const known = nodes.map(() => new Map<string, number>());
  let pending: readonly PendingResponse[] = [];
  let busy: readonly boolean[] = [];
  let sentLate = 0;
  let slowLate = 0;
  for (let now = 0; now < forMs; now += TICK_MS) {
    if (now % 600 === 0) busy = indexes.map(() => random.next() < 0.15);
    const sent = nodes.flatMap((speeds, node): PendingResponse[] => {
      if (random.next() >= (REQUESTS_PER_S * TICK_MS) / 1_000) return [];
      const inFlight = known[node] ?? new Map<string, number>();
      const runner = place(speeds, random, inFlight);
      inFlight.set(runner, (inFlight.get(runner) ?? 0) + 1);
      const index = runners.indexOf(runner);
      const tookMs =
        usualMs * speedOf(index) * (busy[index] ? 2.5 : 1) * (0.7 + 0.6 * random.next());
      return [{ node, runner, at: now + tookMs, tookMs }];
    });
    pending = [...pending, ...sent];
    if (now >= forMs - 1_000) {
      sentLate += sent.length;
      slowLate += sent.filter(({ runner }) => speedOf(runners.indexOf(runner)) > 1).length;
    }
    for (const { node, runner, at, tookMs } of pending) {
      if (at > now) continue;
      nodes[node]?.record({ service: SERVICE, runner, kind: 'route', ratio: tookMs / usualMs });
    }
    pending = pending.filter(({ at }) => at > now);
    if (now % REPORT_MS === 0) {
      for (const inFlight of known) {
        inFlight.clear();
        for (const { runner } of pending) inFlight.set(runner, (inFlight.get(runner) ?? 0) + 1);
      }
      exchange(nodes);
    }
    clock.advance(TICK_MS);
  }
  return { nodes, slowShare: slowLate / sentLate };
}

/** All nodes report to all others that may hear them. */
function reportToAll(mayHear: (receiver: number, sender: number) => boolean): Exchange {
  return (nodes) => {
    const reports = nodes.map((node) => node.takeReport());
    for (const [sender, report] of reports.entries()) {
      if (!report) continue;
      for (const [receiver, node] of nodes.entries()) {
        if (receiver !== sender && mayHear(receiver, sender)) node.setPeer(`n${sender}`, report);
      }
    }
  };
}

/** Nodes of six failure domains report to the first of their domain, which sends digests to all nodes. */
function reportToRelays(isLost: () => boolean): Exchange {
  const domainOf = (node: number): number => node % 6;
  return (nodes) => {
    for (const [index, node] of nodes.entries()) {
      const report = node.takeReport();
      const relay = domainOf(index);
      if (report && relay !== index && !isLost()) nodes[relay]?.setPeer(`n${index}`, report);
    }
    for (const [relay, node] of nodes.slice(0, 6).entries()) {
      const members = nodes.flatMap((_, index) => (domainOf(index) === relay ? [`n${index}`] : []));
      const speeds = node.takeDigest(members);
      if (!speeds) continue;
      for (const [receiver, other] of nodes.entries()) {
        if (receiver === relay || isLost()) continue;
        const includesOwn = domainOf(receiver) === relay;
        other.setDomain({ failureDomain: `d${relay}`, speeds, includesOwn });
      }
    }
  };
}

/** Part of the pairs of a slow and a fast runner that a node orders rightly, by a margin. */
function orderedPart(speeds: RunnerSpeeds): number {
  const slow = indexes.filter((index) => speedOf(index) > 1);
  const fast = indexes.filter((index) => speedOf(index) < 1);
  const lasting = runners.map((runner) => speeds.lastingOf(runner));
  const ordered = slow.flatMap((one) =>
    fast.filter((other) => (lasting[one] ?? 1) > 1.3 * (lasting[other] ?? 1)),
  );
  return ordered.length / (slow.length * fast.length);
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

// Guards against estimates that take minutes, because a node sees each runner once in 9 s.
test('60 nodes learn the speeds of 60 runners together within 5 s, but not alone', (t) => {
  const together = playFleet({ seed: 1, forMs: 5_000, exchange: reportToAll(() => true) }).nodes;
  const alone = playFleet({ seed: 1, forMs: 5_000, exchange: reportToAll(() => false) }).nodes;
  const togetherParts = together.map(orderedPart);
  const aloneParts = alone.map(orderedPart);
  t.log('together', meanOf(togetherParts), Math.min(...togetherParts), 'alone', meanOf(aloneParts));
  t.true(Math.min(...togetherParts) > 0.9);
  t.true(meanOf(aloneParts) < 0.3);
});

// Guards against digests of few runners that tell too little, and against messages whose loss loses samples.
test('60 nodes of six failure domains learn the speeds by digests, a fifth of which are lost', (t) => {
  const random = new SeededRandom(6);
  const exchange = reportToRelays(() => random.next() < 0.2);
  const { nodes } = playFleet({ seed: 6, forMs: 5_000, exchange });
  const parts = nodes.map(orderedPart);
  t.log('by digests', meanOf(parts), Math.min(...parts));
  t.true(Math.min(...parts) > 0.9);
});

// Guards against a choice that needs a loaded fleet to prefer fast runners.
test('few requests go to slow runners while the fleet is nearly idle', (t) => {
  const exchange = reportToAll(() => true);
  const { slowShare } = playFleet({ seed: 7, forMs: 5_000, exchange, usualMs: 40 });
  t.log('part of the requests at the slow third', slowShare);
  t.true(slowShare < 0.1);
});

// Guards against a side that loses its estimates with the other side's reports.
test('each side of a partition keeps an estimate of its own', (t) => {
  const isSameSide = (a: number, b: number): boolean => a < 20 === b < 20;
  const nodes = playFleet({ seed: 2, forMs: 12_000, exchange: reportToAll(isSameSide) }).nodes;
  const parts = nodes.map(orderedPart);
  t.log('smaller side', meanOf(parts.slice(0, 20)), 'larger side', meanOf(parts.slice(20)));
  t.true(meanOf(parts.slice(0, 20)) > 0.8);
  t.true(meanOf(parts.slice(20)) > 0.9);
});

// Guards against a herd: all nodes read in the same report that one runner is idle.
test('60 nodes with the same reports do not all choose the runner that was idle', (t) => {
  const random = new SeededRandom(3);
  const all = runners.map((runner, index) => candidateOf(runner, 1, index === 0 ? 0 : 4));
  const chooseAmong = (candidates: readonly PlacementCandidate[]): string =>
    placeApplicationRequest('a', candidates, random) ?? '';
  const drawn = Array.from({ length: NODES }, () =>
    chooseAmong(
      drawCandidates({
        ...{ items: all, kept: [], count: 4, random },
        weightOf: () => 0.5,
        isUsable: () => true,
      }),
    ),
  );
  const atIdle = drawn.filter((id) => id === runners[0]).length;
  t.log('at the idle runner', atIdle);
  t.true(atIdle <= 12);
  const herd = Array.from({ length: NODES }, () => chooseAmong(all));
  t.is(herd.filter((id) => id === runners[0]).length, NODES);
});

// Guards against a choice whose cost grows with the fleet.
test('the number of runners that are examined does not grow with the fleet', (t) => {
  const random = new SeededRandom(4);
  for (const size of [60, 600, 6_000]) {
    let examined = 0;
    const items = Array.from({ length: size }, (_, index) => index);
    const drawn = drawCandidates({
      ...{ items, kept: [1], count: 4, random },
      weightOf: () => 0.5,
      isUsable: () => {
        examined += 1;
        return true;
      },
    });
    t.true(drawn.includes(1));
    t.true(drawn.length <= 5);
    t.true(examined <= 5, `${examined} of ${size}`);
  }
});

// Guards against requests that are rejected although some runner may take them.
test('a usable runner among many that are not usable is found', (t) => {
  const items = Array.from({ length: 500 }, (_, index) => index);
  const drawn = drawCandidates({
    ...{ items, kept: [], count: 4, random: new SeededRandom(5) },
    weightOf: () => 0.5,
    isUsable: (item) => item === 321,
  });
  t.deepEqual(drawn, [321]);
});
