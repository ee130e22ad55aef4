import { AdmissionGate, RequestOrder, TeamShares } from '@ragwortrudder/admission';
import type { OrderedRequest, ServiceOutlook } from '@ragwortrudder/admission';
import { ManualClock, SeededRandom } from '@ragwortrudder/core';

/** Class of requests that arrive at random. */
interface SimulatedClass {
  readonly priority: number;
  readonly perS: number;
  readonly targetMs: number;
  readonly limitMs: number;
  readonly promptTokens: number;
}

interface GateSimulation {
  readonly classes: readonly SimulatedClass[];
  readonly runners: number;
  readonly hasGate: boolean;
  readonly seed: number;
  /**
   * Nodes that share the runners; each knows its own requests, and those of the others from their reports.
   * @default 1
   */
  readonly nodes?: number;
}

/** Result of a class. */
interface ClassResult {
  readonly offered: number;
  readonly served: number;
  readonly onTime: number;
  readonly waited: number;
  readonly longestWaitMs: number;
}

const DURATION_MS = 20_000;
/** Time in which the backlog builds up; its requests are not counted. */
const WARM_UP_MS = 3_000;
const STEP_MS = 2;
const REVIEW_STEPS = 5;
const MS_PER_TOKEN = 0.014;
const DECODE_MS = 1_000;
const SLOTS = 64;
const REPORT_STEPS = 50;
/** Random part of a placement's cost, in milliseconds. */
const TIE_MS = 3;
/**
 * Runners that a node examines where several send to them; if all examined all, they would all choose the
 * one that was idle in the last reports.
 */
const SAMPLED_RUNNERS = 3;

/** Prompt at a runner. */
interface RunningPrompt {
  readonly firstTokenAt: number;
  readonly workMs: number;
}

/** Best runners by the data of a node. */
interface View {
  readonly best: number;
  readonly bestMs: number;
  readonly secondMs: number;
}

const NO_RESULT: ClassResult = { offered: 0, served: 0, onTime: 0, waited: 0, longestWaitMs: 0 };

/**
 * Plays random arrivals against one pool of runners that process prompts in the order of arrival, so
 * that only the gate protects the more urgent class. Requests that start after their limit are not served.
 */
export function simulateGate(options: GateSimulation): readonly ClassResult[] {
  const { classes, runners, hasGate, seed, nodes = 1 } = options;
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const freeAt = Array.from({ length: runners }, () => 0);
  const endsAt: number[] = [];
  const shares = new TeamShares();
  const order = new RequestOrder({
    clock,
    prefillMsPerToken: () => MS_PER_TOKEN,
    isOverShare: (team) => shares.isOverShare(team),
  });
  const gates = Array.from({ length: nodes }, () => {
    const gate = new AdmissionGate({
      clock,
      random,
      order,
      unheardFactor: () => 1,
      peers: () => ({ count: nodes - 1, periodMs: REPORT_STEPS * STEP_MS }),
      isUninformed: () => false,
    });
    gate.configure(
      classes.map(({ priority, targetMs }) => ({ priority, latencyTargetMs: targetMs })),
    );
    return gate;
  });
  const zeros = (): readonly number[] => Array.from({ length: runners }, () => 0);
  /** Prompts of each node at each runner. */
  const prompts = new Map<string, readonly RunningPrompt[]>();
  /** What each node has last reported, in milliseconds of work by runner. */
  const reports = Array.from({ length: nodes }, zeros);
  const ownMs = (node: number, runner: number): number => {
    const now = clock.monotonic();
    const running = (prompts.get(`${node} ${runner}`) ?? []).filter(
      ({ firstTokenAt }) => firstTokenAt > now,
    );
    prompts.set(`${node} ${runner}`, running);
    return running.reduce(
      (sum, { firstTokenAt, workMs }) => sum + Math.min(workMs, firstTokenAt - now),
      0,
    );
  };
  const viewOf = (node: number): View => {
    const costs = zeros().map((_, runner) => {
      const others = reports.reduce(
        (sum, report, peer) => sum + (peer === node ? 0 : (report[runner] ?? 0)),
        0,
      );
      return { runner, ms: others + ownMs(node, runner), tie: TIE_MS * random.next() };
    });
    const sampled =
      nodes === 1 ? costs : costs.toSorted(() => random.next() - 0.5).slice(0, SAMPLED_RUNNERS);
    const [best, second] = sampled.toSorted((x, y) => x.ms + x.tie - y.ms - y.tie);
    return { best: best?.runner ?? 0, bestMs: best?.ms ?? 0, secondMs: second?.ms ?? Infinity };
  };
  const results = new Map<number, ClassResult>();
  const count = (
    { priority, arrivedAt }: OrderedRequest,
    change: (result: ClassResult) => Partial<ClassResult>,
  ): void => {
    if (arrivedAt < WARM_UP_MS) return;
    const result = results.get(priority) ?? NO_RESULT;
    results.set(priority, { ...result, ...change(result) });
  };
  const inFlight = (): number => endsAt.filter((at) => at > clock.monotonic()).length;
  const look = (request: OrderedRequest, node: number) => (): ServiceOutlook => {
    const { bestMs, secondMs } = viewOf(node);
    const prefillMs = request.prefillTokens * MS_PER_TOKEN;
    return {
      runners,
      estimate: { waitMs: bestMs, prefillMs },
      estimateAfter: (tokens) => ({
        waitMs: Math.min(bestMs + prefillMs, secondMs),
        prefillMs: tokens * MS_PER_TOKEN,
      }),
      occupancy: () => ({ slots: runners * SLOTS, inFlight: inFlight(), hasWaiting: false }),
    };
  };
  const send = (request: OrderedRequest, node: number): void => {
    const now = clock.monotonic();
    const { best } = viewOf(node);
    const workMs = request.prefillTokens * MS_PER_TOKEN;
    const startsAt = Math.max(now, freeAt[best] ?? 0);
    const firstTokenAt = startsAt + workMs;
    if (firstTokenAt > request.deadlineAt) return;
    freeAt[best] = firstTokenAt;
    const key = `${node} ${best}`;
    prompts.set(key, [...(prompts.get(key) ?? []), { firstTokenAt, workMs }]);
    endsAt.push(firstTokenAt + DECODE_MS);
    const isOnTime = firstTokenAt <= request.arrivedAt + request.latencyTargetMs;
    count(request, ({ served, onTime, longestWaitMs }) => ({
      served: served + 1,
      onTime: onTime + (isOnTime ? 1 : 0),
      longestWaitMs: Math.max(longestWaitMs, now - request.arrivedAt),
    }));
  };
  for (let step = 0; clock.monotonic() < DURATION_MS; step += 1) {
    const now = clock.monotonic();
    for (const { priority, perS, targetMs, limitMs, promptTokens } of classes) {
      if (random.next() * 1_000 >= perS * STEP_MS) continue;
      const request: OrderedRequest = {
        priority,
        latencyTargetMs: targetMs,
        arrivedAt: now,
        deadlineAt: now + limitMs,
        prefillTokens: promptTokens,
        outputTokens: 100,
        team: undefined,
      };
      count(request, ({ offered }) => ({ offered: offered + 1 }));
      const node = Math.floor(random.next() * nodes);
      const decision = hasGate ? gates[node]?.offer(request, look(request, node)) : undefined;
      if (!decision || decision.kind === 'admit') send(request, node);
      if (decision?.kind === 'wait') count(request, ({ waited }) => ({ waited: waited + 1 }));
    }
    for (const [node, gate] of gates.entries()) {
      if ((step + node) % REPORT_STEPS === 0) {
        reports[node] = zeros().map((_, runner) => ownMs(node, runner));
      }
      if ((step + node) % REVIEW_STEPS !== 0) continue;
      for (;;) {
        const admitted = gate.review().filter(({ decision }) => decision.kind === 'admit');
        if (admitted.length === 0) break;
        for (const { request } of admitted) send(request, node);
      }
    }
    clock.advance(STEP_MS);
  }
  return classes.map(({ priority }) => results.get(priority) ?? NO_RESULT);
}
