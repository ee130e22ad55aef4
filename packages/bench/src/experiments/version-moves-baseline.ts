import type { Random } from '@ragwortrudder/core';
import type { PlannedRequest } from '../types/planned-request.ts';
import type { VersionCase } from '../types/version-case.ts';

interface BaselineOptions {
  readonly versionCase: VersionCase;
  /** Requests with arrival times relative to the start of the rollout. */
  readonly planned: readonly PlannedRequest[];
  readonly random: Random;
  /** Share of the requests that the new version receives before it is judged. */
  readonly canaryShare: number;
  /**
   * Time at which the new version is judged by its error rate; 0 switches all traffic immediately
   * and unconditionally.
   */
  readonly judgedAtMs: number;
}

interface BaselineResult {
  readonly isKept: boolean;
  /** Requests that reached the new version by the deadline. */
  readonly reached: number;
  readonly failed: number;
}

const MAX_ERROR_RATE = 0.05;
const LATE_AFTER = { busy: 24, quiet: 10 };
const SERVICE_MS = 150;
const RUNNERS = 2;

/** Simulates a rollout with a fixed canary share on the same arrivals. */
export function simulateBaseline(options: BaselineOptions): BaselineResult {
  const { versionCase, planned, random, canaryShare, judgedAtMs } = options;
  const reachedAt: number[] = [];
  let failed = 0;
  let isKept = true;
  let isJudged = judgedAtMs === 0;
  for (const request of planned) {
    if (request.atMs < 0 || request.atMs > versionCase.deadlineMs) continue;
    if (!isJudged && request.atMs >= judgedAtMs) {
      isKept = failed <= MAX_ERROR_RATE * reachedAt.length;
      isJudged = true;
    }
    const share = isJudged ? (isKept ? 1 : 0) : canaryShare;
    if (random.next() >= share) continue;
    if (requestFails(versionCase, request, reachedAt, random)) failed += 1;
    reachedAt.push(request.atMs);
  }
  return { isKept, reached: reachedAt.length, failed };
}

function requestFails(
  { kind, traffic }: VersionCase,
  { atMs, body }: PlannedRequest,
  reachedAt: readonly number[],
  random: Random,
): boolean {
  if (kind.affected === 'late' && reachedAt.length < LATE_AFTER[traffic]) return false;
  if (kind.affected === 'one route' && body.class !== 'batch') return false;
  if (kind.affected === 'under load') {
    const running = reachedAt.filter((time) => time > atMs - SERVICE_MS).length;
    return random.next() < Math.min(1, running / RUNNERS);
  }
  return random.next() < kind.failRate;
}
