import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MoveBoard } from '@ragwortrudder/moves';
import type { BadMark, Evidence, Move, MoveWord, Outcome } from '@ragwortrudder/moves';

const NODES = ['n0', 'n1', 'n2'];
const MIN_LOOK_PERIOD_MS = 1000;
const LOOKS = 300;
const GOSSIP_PERIOD_MS = 3000;
const REQUEST_MS = 800;
const STEP_MS = 250;
const BASE_FAILURES = 0.01;
const BAD_FAILURES = 0.5;
const SLOWDOWN = 2.5;
const HIGH_LOAD = 0.85;
const RARE_ROUTE_PART = 0.15;

export interface Scenario {
  readonly kind: string;
  readonly requestsPerSecond: number;
  readonly windowMs: number;
  readonly seed: number;
  /** Part of the window in which the log takes no words. */
  readonly logOutage?: readonly [from: number, to: number];
}

export interface RunResult {
  readonly word: 'done' | 'undone' | 'none';
  readonly reason: string;
  /** Part of the window at which the word fell. */
  readonly wordAt: number;
  /** Requests that the new version got, and how many of these while it was bad. */
  readonly newRequests: number;
  readonly badRequests: number;
  readonly requests: number;
  /** Largest number of requests to the new version before any verdict, in the first stage. */
  readonly firstStageRequests: number;
  /** Requests to the new version that started after the first mark reached every node. */
  readonly afterMarks: number;
}

interface Pending {
  readonly at: number;
  readonly node: number;
  readonly outcome: Outcome;
}

/** True when the new version is bad for this request. */
function isBad(kind: string, part: number, route: string, load: number): boolean {
  if (kind === 'at once' || kind === 'slow') return true;
  if (kind === 'late') return part >= 0.5;
  if (kind === 'at the end') return part >= 0.75;
  if (kind === 'under load') return load >= HIGH_LOAD;
  if (kind === 'one route') return route === 'reconciliations';
  return false;
}

function isShared(kind: string, part: number): boolean {
  return kind === 'good, shared faults' && part >= 0.3 && part < 0.5;
}

/** Runs one move on three nodes that exchange evidence every few seconds. */
export function simulate({
  kind,
  requestsPerSecond,
  windowMs,
  seed,
  logOutage,
}: Scenario): RunResult {
  const clock = new ManualClock(1_000_000);
  const random = new SeededRandom(seed);
  const move: Move = {
    id: '17',
    service: 'assistant',
    fromVersion: 'v1',
    toVersion: 'v2',
    startedAt: clock.wall(),
    takeoverBy: clock.wall() + windowMs,
  };
  const boards = NODES.map(
    (nodeId, index) =>
      new MoveBoard({
        nodeId,
        clock,
        random: new SeededRandom(seed * 10 + index + 1),
        nodeIds: () => NODES,
      }),
  );
  for (const board of boards) board.add(move);
  const lookPeriodMs = Math.max(MIN_LOOK_PERIOD_MS, windowMs / LOOKS);
  let known: readonly Evidence[] = [];
  let knownMarks: readonly BadMark[] = [];
  let pending: Pending[] = [];
  let word: MoveWord | undefined;
  let nextRequest = clock.wall();
  let nextLook = clock.wall();
  let nextGossip = clock.wall();
  const counts = { requests: 0, newRequests: 0, badRequests: 0, firstStage: 0, afterMarks: 0 };
  const part = () => (clock.wall() - move.startedAt) / windowMs;

  const start = (): void => {
    const node = Math.floor(random.next() * NODES.length);
    const board = boards[node];
    if (!board) return;
    const plan = board.statuses[0]?.plan;
    const version = board.choose('assistant') ?? 'v1';
    const route = random.next() < RARE_ROUTE_PART ? 'reconciliations' : 'questions';
    const load = random.next();
    const isNew = version === 'v2';
    const bad = isNew && isBad(kind, part(), route, load);
    const isFailing = bad && kind !== 'slow';
    const rate = isShared(kind, part()) || isFailing ? BAD_FAILURES : BASE_FAILURES;
    const noise = Math.exp(0.3 * (random.next() + random.next() + random.next() - 1.5) * 2);
    const ratio = noise * (load >= HIGH_LOAD ? 1.4 : 1) * (bad && kind === 'slow' ? SLOWDOWN : 1);
    const failed = random.next() < rate;
    const outcome: Outcome = failed
      ? { service: 'assistant', version, route, load, kind: 'failure' }
      : { service: 'assistant', version, route, load, kind: 'success', latencyRatio: ratio };
    pending.push({ at: clock.wall() + REQUEST_MS, node, outcome });
    counts.requests += 1;
    if (!isNew) return;
    counts.newRequests += 1;
    if (bad) counts.badRequests += 1;
    if (plan?.stage === 0) counts.firstStage += 1;
    if (boards.every(({ marks }) => marks.length > 0)) counts.afterMarks += 1;
  };

  const settle = (): void => {
    const isOut = logOutage && part() >= logOutage[0] && part() < logOutage[1];
    const [first] = boards.flatMap(({ pendingWords }) => pendingWords);
    if (isOut || !first) return;
    word = first;
    for (const board of boards) board.settle(first);
  };

  while (!word && part() < 2) {
    const now = clock.wall();
    for (const item of pending.filter(({ at }) => at <= now)) {
      boards[item.node]?.record(item.outcome);
    }
    pending = pending.filter(({ at }) => at > now);
    while (nextRequest <= now) {
      start();
      nextRequest += (-Math.log(1 - random.next()) * 1000) / requestsPerSecond;
    }
    if (now >= nextGossip) {
      known = boards.map(({ evidence }) => evidence);
      knownMarks = boards.flatMap(({ marks }) => marks);
      for (const board of boards) board.mergeMarks(knownMarks);
      nextGossip += GOSSIP_PERIOD_MS;
    }
    if (now >= nextLook) {
      for (const [index, board] of boards.entries()) {
        board.look(known.filter((_, other) => other !== index));
      }
      settle();
      nextLook += lookPeriodMs;
    }
    clock.advance(STEP_MS);
  }
  return {
    word: word?.word ?? 'none',
    reason: word?.reason ?? '',
    wordAt: part(),
    newRequests: counts.newRequests,
    badRequests: counts.badRequests,
    requests: counts.requests,
    firstStageRequests: counts.firstStage,
    afterMarks: counts.afterMarks,
  };
}
