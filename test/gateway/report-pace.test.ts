import test from 'ava';
import { reportPace } from '../../packages/gateway/src/utils/report-pace.ts';
import { reportTiming } from '../../packages/gateway/src/utils/report-timing.ts';

interface LocatedNode {
  readonly failureDomain: string;
}

function nodesOf(sizes: Readonly<Record<string, number>>): readonly LocatedNode[] {
  return Object.entries(sizes).flatMap(([failureDomain, size]) =>
    Array.from({ length: size }, () => ({ failureDomain })),
  );
}

/** Report pace of one node of each failure domain. */
function pacesOf(
  sizes: Readonly<Record<string, number>>,
): readonly ReturnType<typeof reportPace>[] {
  const nodes = nodesOf(sizes);
  return Object.keys(sizes).map((failureDomain) => {
    const self = nodes.findIndex((node) => node.failureDomain === failureDomain);
    const peers = nodes.filter((_node, index) => index !== self);
    return reportPace(peers, failureDomain);
  });
}

test('a small deployment reports at the full rate', (t) => {
  t.deepEqual(pacesOf({ a: 9, b: 8 }), [undefined, undefined]);
});

test('pattern: uneven failure domains; no peer counts as silent because its domain reports less often', (t) => {
  for (const sizes of [
    { a: 3, b: 45 },
    { a: 28, b: 27, c: 29 },
    { a: 1, b: 1, c: 98 },
  ]) {
    const paces = pacesOf(sizes);
    const slowest = Math.max(...paces.map((pace) => pace?.intervalFactor ?? 1));
    for (const pace of paces) t.true((pace?.timeoutFactor ?? 1) >= slowest, JSON.stringify(sizes));
  }
});

test('the report rate of a node does not grow with the size of its failure domain', (t) => {
  const costOf = (size: number): number => {
    const [pace] = pacesOf({ a: size, b: size });
    return size / (pace?.intervalFactor ?? 1);
  };
  t.true(costOf(300) <= costOf(30) * 1.01);
});

/** Time within which a node must know that a peer is dead, in milliseconds. */
const CONTACT_MS = 5_000;

test('a dead node is known in time, and no time-out is shorter than two periods, from 3 to 250 nodes', (t) => {
  for (const sizes of [
    { a: 3 },
    { a: 9, b: 8 },
    { a: 15, b: 15, c: 15, d: 15 },
    { a: 28, b: 27, c: 29 },
    { a: 37, b: 37, c: 41, d: 38, e: 42 },
    { a: 1, b: 1, c: 50 },
    { a: 50, b: 50, c: 50, d: 50, e: 50 },
  ]) {
    const timings = pacesOf(sizes).map(reportTiming);
    const slowestMs = Math.max(...timings.map(({ periodMs }) => periodMs));
    for (const timing of timings) {
      const { peerTimeoutMs, relayTimeoutMs, workTtlMs, baselineTtlMs } = timing;
      t.true(peerTimeoutMs < CONTACT_MS, JSON.stringify(sizes));
      for (const ms of [peerTimeoutMs, relayTimeoutMs, workTtlMs, baselineTtlMs]) {
        t.true(ms >= 2 * slowestMs, JSON.stringify(sizes));
      }
    }
  }
});
