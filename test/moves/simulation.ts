import { ManualClock, SeededRandom } from '@ragwortrudder/core';
import { MoveController } from '@ragwortrudder/moves';
import type { BadMark, Evidence, Move, MoveDecision, Outcome } from '@ragwortrudder/moves';

const NODES = ['n0', 'n1', 'n2'];
const MIN_EVALUATION_PERIOD_MS = 1000;
const EVALUATIONS = 300;
const GOSSIP_PERIOD_MS = 3000;
const REQUEST_MS = 800;
const STEP_MS = 250;
const BASE_FAILURE_RATE = 0.01;
const BAD_FAILURE_RATE = 0.5;
const SLOWDOWN = 2.5;
const HIGH_LOAD = 0.85;
const RARE_ROUTE_SHARE = 0.15;

export interface Scenario {
  readonly kind: string;
  readonly requestsPerSecond: number;
  readonly windowMs: number;
  readonly seed: number;
  /** Interval in which the log accepts no decisions, as fractions of the window. */
  readonly logOutage?: readonly [from: number, to: number];
}

export interface RunResult {
  readonly decision: 'done' | 'undone' | 'none';
  readonly reason: string;
  /** Time of the decision, as a fraction of the window. */
  readonly decidedAt: number;
  /** Requests sent to the new version, and how many of them it was bad for. */
  readonly newRequests: number;
  readonly badRequests: number;
  readonly requests: number;
  /** Number of requests to the new version in the first stage. */
  readonly firstStageRequests: number;
  /** Requests to the new version that started after every node had a mark. */
  readonly requestsAfterMarks: number;
}

interface Pending {
  readonly at: number;
  readonly node: number;
  readonly outcome: Outcome;
}

/** Returns whether the new version is bad for this request. */
function isBad(kind: string, progress: number, route: string, load: number): boolean {
  if (kind === 'at once' || kind === 'slow') return true;
  if (kind === 'late') return progress >= 0.5;
  if (kind === 'at the end') return progress >= 0.75;
  if (kind === 'under load') return load >= HIGH_LOAD;
  if (kind === 'one route') return route === 'reconciliations';
  return false;
}

function isSharedFault(kind: string, progress: number): boolean {
  return kind === 'good, shared faults' && progress >= 0.3 && progress < 0.5;
}

/** Simulates one move on three nodes that exchange evidence every few seconds. */
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
  const controllers = NODES.map(
    (nodeId, index) =>
      new MoveController({
        nodeId,
        clock,
        random: new SeededRandom(seed * 10 + index + 1),
        nodeIds: () => NODES,
      }),
  );
  for (const controller of controllers) controller.add(move);
  const evaluationPeriodMs = Math.max(MIN_EVALUATION_PERIOD_MS, windowMs / EVALUATIONS);
  let gossipedEvidence: readonly Evidence[] = [];
  let gossipedMarks: readonly BadMark[] = [];
  let pending: Pending[] = [];
  let decision: MoveDecision | undefined;
  let nextRequest = clock.wall();
  let nextEvaluation = clock.wall();
  let nextGossip = clock.wall();
  const counts = {
    requests: 0,
    newRequests: 0,
    badRequests: 0,
    firstStage: 0,
    requestsAfterMarks: 0,
  };
  const progress = () => (clock.wall() - move.startedAt) / windowMs;

  const sendRequest = (): void => {
    const node = Math.floor(random.next() * NODES.length);
    const controller = controllers[node];
    if (!controller) return;
    const plan = controller.statuses[0]?.plan;
    const version = controller.chooseVersion('assistant') ?? 'v1';
    const route = random.next() < RARE_ROUTE_SHARE ? 'reconciliations' : 'questions';
    const load = random.next();
    const isNew = version === 'v2';
    const bad = isNew && isBad(kind, progress(), route, load);
    const isFailing = bad && kind !== 'slow';
    const rate =
      isSharedFault(kind, progress()) || isFailing ? BAD_FAILURE_RATE : BASE_FAILURE_RATE;
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
    if (controllers.every(({ marks }) => marks.length > 0)) counts.requestsAfterMarks += 1;
  };

  const writeDecision = (): void => {
    const isLogDown = logOutage && progress() >= logOutage[0] && progress() < logOutage[1];
    const [first] = controllers.flatMap(({ pendingDecisions: pendingWords }) => pendingWords);
    if (isLogDown || !first) return;
    decision = first;
    for (const controller of controllers) controller.applyDecision(first);
  };

  while (!decision && progress() < 2) {
    const now = clock.wall();
    for (const item of pending.filter(({ at }) => at <= now)) {
      controllers[item.node]?.recordOutcome(item.outcome);
    }
    pending = pending.filter(({ at }) => at > now);
    while (nextRequest <= now) {
      sendRequest();
      nextRequest += (-Math.log(1 - random.next()) * 1000) / requestsPerSecond;
    }
    if (now >= nextGossip) {
      gossipedEvidence = controllers.map(({ evidence }) => evidence);
      gossipedMarks = controllers.flatMap(({ marks }) => marks);
      for (const controller of controllers) controller.mergeMarks(gossipedMarks);
      nextGossip += GOSSIP_PERIOD_MS;
    }
    if (now >= nextEvaluation) {
      for (const [index, controller] of controllers.entries()) {
        controller.evaluate(gossipedEvidence.filter((_, other) => other !== index));
      }
      writeDecision();
      nextEvaluation += evaluationPeriodMs;
    }
    clock.advance(STEP_MS);
  }
  return {
    decision: decision?.word ?? 'none',
    reason: decision?.reason ?? '',
    decidedAt: progress(),
    newRequests: counts.newRequests,
    badRequests: counts.badRequests,
    requests: counts.requests,
    firstStageRequests: counts.firstStage,
    requestsAfterMarks: counts.requestsAfterMarks,
  };
}
