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

const NO_RESULT: ClassResult = { offered: 0, served: 0, onTime: 0, waited: 0, longestWaitMs: 0 };

/**
 * Plays random arrivals against one pool of runners that process prompts in the order of arrival, so
 * that only the gate protects the more urgent class. Requests that start after their limit are not served.
 */
export function simulateGate(options: GateSimulation): readonly ClassResult[] {
  const { classes, runners, hasGate, seed } = options;
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
  const gate = new AdmissionGate({
    clock,
    random,
    order,
    unheardFactor: () => 1,
    isUninformed: () => false,
  });
  gate.configure(
    classes.map(({ priority, targetMs }) => ({ priority, latencyTargetMs: targetMs })),
  );
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
  const backlogs = (): readonly number[] =>
    freeAt.map((at) => Math.max(0, at - clock.monotonic())).toSorted((a, b) => a - b);
  const look = (request: OrderedRequest) => (): ServiceOutlook => {
    const [best = 0, second = Infinity] = backlogs();
    const prefillMs = request.prefillTokens * MS_PER_TOKEN;
    return {
      estimate: { waitMs: best, prefillMs },
      estimateAfter: (tokens) => ({
        waitMs: Math.min(best + prefillMs, second),
        prefillMs: tokens * MS_PER_TOKEN,
      }),
      occupancy: () => ({ slots: runners * SLOTS, inFlight: inFlight(), hasWaiting: false }),
    };
  };
  const send = (request: OrderedRequest): void => {
    const now = clock.monotonic();
    const best = freeAt.indexOf(Math.min(...freeAt));
    const startsAt = Math.max(now, freeAt[best] ?? 0);
    const firstTokenAt = startsAt + request.prefillTokens * MS_PER_TOKEN;
    if (firstTokenAt > request.deadlineAt) return;
    freeAt[best] = firstTokenAt;
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
      const decision = hasGate ? gate.offer(request, look(request)) : { kind: 'admit' as const };
      if (decision.kind === 'admit') send(request);
      if (decision.kind === 'wait') count(request, ({ waited }) => ({ waited: waited + 1 }));
    }
    if (step % REVIEW_STEPS === 0) {
      for (;;) {
        const admitted = gate.review().filter(({ decision }) => decision.kind === 'admit');
        if (admitted.length === 0) break;
        for (const { request } of admitted) send(request);
      }
    }
    clock.advance(STEP_MS);
  }
  return classes.map(({ priority }) => results.get(priority) ?? NO_RESULT);
}
