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
  /** Part of the good versions that may stay unproved for lack of requests. */
  readonly maxUnprovedPart: number;
}

const BAD_SEEDS = 25;
const GOOD_SEEDS = 100;
const FIRST_STAGE_REQUESTS = 20;
/** Requests that a version may answer badly before it is taken back. */
const MAX_BAD_REQUESTS = 100;
const MAX_WRONG_PART = 0.01;

/** Runs one scenario for each seed and lets other work go on in between. */
async function runs(kind: string, traffic: Traffic, seeds: number): Promise<readonly RunResult[]> {
  const results: RunResult[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    results.push(simulate({ kind, ...traffic, seed }));
    await setImmediate();
  }
  return results;
}

function percentile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

function row(kind: string, traffic: string, results: readonly RunResult[]): string {
  const done = results.filter(({ word }) => word === 'done').length;
  const bad = results.map(({ badRequests }) => badRequests);
  const share = results.map(({ badRequests, requests }) => (100 * badRequests) / requests);
  const at = results.map(({ wordAt }) => wordAt);
  return `| ${kind} | ${traffic} | ${results.length} | ${done} | ${results.length - done} | ${percentile(bad, 0.5)} / ${Math.max(...bad)} | ${Math.max(...share).toFixed(1)} | ${percentile(at, 0.5).toFixed(2)} |`;
}

/** Declares the tests of every kind of version under one traffic. */
export function testMatrix(traffic: Traffic): void {
  for (const kind of BAD_KINDS) {
    test.serial(`no version is kept that is bad: ${kind}, ${traffic.name}`, async (t) => {
      const results = await runs(kind, traffic, BAD_SEEDS);
      t.log(row(kind, traffic.name, results));
      for (const result of results) {
        t.is(result.word, 'undone', JSON.stringify(result));
        t.true(result.firstStageRequests <= FIRST_STAGE_REQUESTS, JSON.stringify(result));
        t.true(result.badRequests <= MAX_BAD_REQUESTS, JSON.stringify(result));
        t.is(result.afterMarks, 0, JSON.stringify(result));
      }
    });
  }
  for (const kind of GOOD_KINDS) {
    test.serial(`good versions are done by their deadline: ${kind}, ${traffic.name}`, async (t) => {
      const results = await runs(kind, traffic, GOOD_SEEDS);
      t.log(row(kind, traffic.name, results));
      const wrong = results.filter(({ word }) => word !== 'done');
      for (const { reason } of wrong) t.log(reason);
      const blamed = wrong.filter(({ reason }) => !reason.startsWith('not proved'));
      t.true(blamed.length <= MAX_WRONG_PART * GOOD_SEEDS);
      t.true(wrong.length <= traffic.maxUnprovedPart * GOOD_SEEDS);
      for (const { wordAt } of results) t.true(wordAt <= 1.02);
    });
  }
}
