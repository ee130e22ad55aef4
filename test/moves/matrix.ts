import { setImmediate } from 'node:timers/promises';
import test from 'ava';
import { simulate } from './simulation.ts';
import type { RunResult } from './simulation.ts';

const BAD_KINDS = ['at once', 'late', 'at the end', 'under load', 'one route', 'slow'];
const GOOD_KINDS = ['good', 'good, shared faults'];
interface Traffic {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly windowMs: number;
  /** Maximum fraction of good versions that may remain unproved for lack of requests. */
  readonly maxUnprovedFraction: number;
}

const BAD_SEEDS = 25;
const GOOD_SEEDS = 100;
const FIRST_STAGE_REQUESTS = 20;
/** Maximum number of requests that a bad version may affect before it is rolled back. */
const MAX_BAD_REQUESTS = 100;
const MAX_BLAMED_FRACTION = 0.01;

/** Runs one scenario per seed and yields to the event loop in between. */
async function runSeeds(
  kind: string,
  traffic: Traffic,
  seeds: number,
): Promise<readonly RunResult[]> {
  const results: RunResult[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    results.push(simulate({ kind, ...traffic, seed }));
    await setImmediate();
  }
  return results;
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}

function row(kind: string, traffic: string, results: readonly RunResult[]): string {
  const done = results.filter(({ decision }) => decision === 'done').length;
  const bad = results.map(({ badRequests }) => badRequests);
  const share = results.map(({ badRequests, requests }) => (100 * badRequests) / requests);
  const at = results.map(({ decidedAt }) => decidedAt);
  return `| ${kind} | ${traffic} | ${results.length} | ${done} | ${results.length - done} | ${percentile(bad, 0.5)} / ${Math.max(...bad)} | ${Math.max(...share).toFixed(1)} | ${percentile(at, 0.5).toFixed(2)} |`;
}

/** Declares the tests of every kind of version under one traffic profile. */
export function testMatrix(traffic: Traffic): void {
  for (const kind of BAD_KINDS) {
    test.serial(`a bad version is always rolled back: ${kind}, ${traffic.name}`, async (t) => {
      const results = await runSeeds(kind, traffic, BAD_SEEDS);
      t.log(row(kind, traffic.name, results));
      for (const result of results) {
        t.is(result.decision, 'undone', JSON.stringify(result));
        t.true(result.firstStageRequests <= FIRST_STAGE_REQUESTS, JSON.stringify(result));
        t.true(result.badRequests <= MAX_BAD_REQUESTS, JSON.stringify(result));
        t.is(result.requestsAfterMarks, 0, JSON.stringify(result));
      }
    });
  }
  for (const kind of GOOD_KINDS) {
    test.serial(
      `good versions are rolled out by their deadline: ${kind}, ${traffic.name}`,
      async (t) => {
        const results = await runSeeds(kind, traffic, GOOD_SEEDS);
        t.log(row(kind, traffic.name, results));
        const notDone = results.filter(({ decision }) => decision !== 'done');
        for (const { reason } of notDone) t.log(reason);
        const blamed = notDone.filter(({ reason }) => !reason.startsWith('not proved'));
        t.true(blamed.length <= MAX_BLAMED_FRACTION * GOOD_SEEDS);
        t.true(notDone.length <= traffic.maxUnprovedFraction * GOOD_SEEDS);
        for (const { decidedAt } of results) t.true(decidedAt <= 1.02);
      },
    );
  }
}
