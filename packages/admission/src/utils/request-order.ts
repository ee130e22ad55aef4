import type { Clock } from '@ragwortrudder/core';
import type { OrderedRequest } from '../types/ordered-request.ts';

interface RequestOrderOptions {
  readonly clock: Clock;
  /** Prefill time per prompt token, in milliseconds. */
  readonly prefillMsPerToken: () => number;
  /** The team has more requests in progress than its share. */
  readonly isOverShare: (team: string | undefined) => boolean;
}

const MOST_URGENT = 0;
const LEAST_URGENT = 9;
/** Distance between the engine priorities of two adjacent priorities. */
const PRIORITY_SPACING = 2;
/**
 * Ratio of the costs of two adjacent priorities. It exceeds the ratio of the highest and the lowest
 * cost of a late request, so that no delay of a less urgent request outweighs a more urgent one that
 * becomes late.
 */
const PRIORITY_RATIO = 8;
/** Cost of a request of priority 0 that misses its target by little. */
const MISSED_TARGET_COST = 1;
/** Cost of a request of priority 0 that is not served before its deadline. */
const MISSED_DEADLINE_COST = 4;

/**
 * Order in which the requests of a service are served while it is overloaded: by priority, then those
 * that can still meet their targets, then those of teams that are within their share, then by the time
 * at which the target is missed, then by work. Neither size nor deadline alone decides, since the most
 * urgent requests are the smallest in some deployments and the largest in others.
 */
export class RequestOrder {
  readonly #options: RequestOrderOptions;

  constructor(options: RequestOrderOptions) {
    this.#options = options;
  }

  /**
   * What it costs the caller if the request starts `delayMs` from now: 0 while it meets its target, and
   * more with each further delay up to its deadline.
   */
  costOfDelay(request: OrderedRequest, delayMs: number): number {
    const firstTokenAt =
      this.#options.clock.monotonic() + Math.max(0, delayMs) + this.prefillMs(request);
    const targetAt = this.#targetAt(request);
    if (firstTokenAt <= targetAt) return 0;
    const lateShare =
      firstTokenAt >= request.deadlineAt
        ? 1
        : (firstTokenAt - targetAt) / (request.deadlineAt - targetAt);
    const cost =
      lateShare >= 1 ? MISSED_DEADLINE_COST : MISSED_TARGET_COST * (1 + Math.max(0, lateShare));
    return cost * PRIORITY_RATIO ** -request.priority;
  }

  /** Compares two requests: negative if `a` is served before `b`. */
  compare(a: OrderedRequest, b: OrderedRequest): number {
    const overShare = (request: OrderedRequest): number =>
      Number(this.#options.isOverShare(request.team));
    return (
      a.priority - b.priority ||
      Number(!this.canMeetTarget(a)) - Number(!this.canMeetTarget(b)) ||
      overShare(a) - overShare(b) ||
      this.#targetAt(a) - this.#targetAt(b) ||
      a.prefillTokens + a.outputTokens - (b.prefillTokens + b.outputTokens) ||
      a.arrivedAt - b.arrivedAt
    );
  }

  /** The request would meet its target at an idle runner. */
  canMeetTarget(request: OrderedRequest): boolean {
    return this.#options.clock.monotonic() + this.prefillMs(request) <= this.#targetAt(request);
  }

  /** Time for the prompt of the request, in milliseconds. */
  prefillMs({ prefillTokens }: OrderedRequest): number {
    return prefillTokens * this.#options.prefillMsPerToken();
  }

  /**
   * Priority of the request at a model engine, from 0 (most urgent) to 9. A request that cannot meet its
   * target any more gets the value between that of its own priority and the next one.
   */
  enginePriorityOf(request: OrderedRequest): number {
    const lateness = this.canMeetTarget(request) ? 0 : 1;
    const value = Math.round(request.priority * PRIORITY_SPACING) + 1 + lateness;
    if (Number.isNaN(value)) return LEAST_URGENT;
    return Math.min(LEAST_URGENT, Math.max(MOST_URGENT, value));
  }

  /** Time at which the target is missed; a target of 0 is none. */
  #targetAt({ latencyTargetMs, arrivedAt, deadlineAt }: OrderedRequest): number {
    return latencyTargetMs > 0 ? Math.min(arrivedAt + latencyTargetMs, deadlineAt) : deadlineAt;
  }
}
