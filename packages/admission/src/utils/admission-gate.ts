import type { Clock, Random } from '@ragwortrudder/core';
import type { FirstTokenEstimate } from '../types/first-token-estimate.ts';
import type { GateDecision } from '../types/gate-decision.ts';
import type { OrderedRequest } from '../types/ordered-request.ts';
import type { ReviewedRequest } from '../types/reviewed-request.ts';
import type { ServiceClass } from '../types/service-class.ts';
import type { ServiceOutlook } from '../types/service-outlook.ts';
import { BacklogTrend } from './backlog-trend.ts';
import { RecentClasses } from './recent-classes.ts';
import { RecentWork } from './recent-work.ts';
import type { RequestOrder } from './request-order.ts';
import { spreadRetryMs } from './spread-retry-ms.ts';

interface AdmissionGateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly order: RequestOrder;
  /** Known nodes divided by those that this node has reports of, including itself; at least 1. */
  readonly unheardFactor: () => number;
  /** Other nodes that send to the runners, and the period of their reports in milliseconds. */
  readonly peers: () => { readonly count: number; readonly periodMs: number };
  /** This node has just started and waits for the first reports of its peers. */
  readonly isUninformed: () => boolean;
}

/** Looks at the runners on behalf of a request; undefined if no runner can take it. */
type Look = () => ServiceOutlook | undefined;

interface QueuedRequest {
  readonly request: OrderedRequest;
  readonly look: Look;
}

type Refused = Extract<GateDecision, { readonly kind: 'refuse' }>;

/**
 * Expected time to the first token, as a fraction of the smallest target of the service, up to which
 * requests are admitted without further checks.
 */
const QUIET_SHARE = 0.25;
/**
 * Fraction of the target of a more urgent class up to which its expected time to the first token may
 * rise. The rest is for what other nodes have sent since their last reports.
 */
const TARGET_SHARE = 0.6;
/** Fraction of its latency target that a request waits at most. */
const MAX_WAIT_SHARE = 1 / 8;
/** Fraction of slots in use up to which no request is held while none is waiting. */
const MAX_USED_SHARE = 0.5;
/**
 * Wait at the best runner up to which a single running prompt may explain it, in milliseconds: the
 * prefill of about 18,000 tokens at the published rate of engines. During a longer one, others wait.
 */
const MAX_RUNNING_MS = 250;
/** Waiting requests of a service at a node; their bodies are within the node's body budget. */
const MAX_QUEUED = 256;
const ADMIT: GateDecision = { kind: 'admit' };
const WAIT: GateDecision = { kind: 'wait' };

/**
 * Decides whether a request of a service is sent to a runner, waits at the node, or is refused. Only
 * requests that would push a more urgent class beyond its target wait, and those that still would after
 * their wait are refused. One instance for each service of a node; the caller looks at the runners and
 * reviews the queue regularly.
 */
export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #classes: RecentClasses;
  readonly #trend: BacklogTrend;
  /** Work of the less urgent requests that this node has admitted. */
  readonly #admitted: RecentWork;
  #queue: readonly QueuedRequest[] = [];
  /** Requests that gave way to others in a full queue, until the next review. */
  #displaced: readonly QueuedRequest[] = [];

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
    this.#classes = new RecentClasses(options.clock);
    this.#trend = new BacklogTrend(options.clock);
    this.#admitted = new RecentWork(options.clock);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.length + this.#displaced.length;
  }

  /** Sets the classes that the configuration allows for the service. */
  configure(classes: readonly ServiceClass[]): void {
    this.#classes.configure(classes);
  }

  /** Records the arrival of a request and decides about it; one that has to wait is queued. */
  offer(request: OrderedRequest, look: Look): GateDecision {
    if (this.#classes.isUniform) return ADMIT;
    this.#classes.record(request);
    if (!this.#classes.hasMoreUrgentThan(request.priority)) return ADMIT;
    const decision = this.#decide(request, look());
    const isBehind =
      decision.kind === 'admit' &&
      this.#queue.some((queued) => this.#options.order.compare(queued.request, request) < 0);
    if (decision.kind === 'admit' && !isBehind) this.#recordAdmitted(request);
    if (decision.kind !== 'wait' && !isBehind) return decision;
    return this.#enqueue({ request, look });
  }

  /**
   * Decides again about the waiting requests, in their order. Returns those that no longer wait; at most
   * one of them is admitted, so that the next decision takes it into account.
   */
  review(): readonly ReviewedRequest[] {
    const reviewed: ReviewedRequest[] = this.#displaced.map(({ request }) => ({
      request,
      decision: this.#refused(request, 'displaced', this.#trend.latestMs),
    }));
    this.#displaced = [];
    this.#queue = this.#queue.toSorted((a, b) => this.#options.order.compare(a.request, b.request));
    const now = this.#options.clock.monotonic();
    let isBlocked = false;
    for (const { request, look } of this.#queue) {
      // Those behind a request that waits are looked at only when their time is over: a look costs
      // two placements.
      if (isBlocked && now < this.#waitsUntil(request, 0)) continue;
      const decision = this.#decide(request, look());
      isBlocked ||= decision.kind === 'wait';
      if (decision.kind === 'wait') continue;
      reviewed.push({ request, decision });
      if (decision.kind !== 'admit') continue;
      this.#recordAdmitted(request);
      break;
    }
    const left = new Set(reviewed.map(({ request }) => request));
    this.#queue = this.#queue.filter(({ request }) => !left.has(request));
    return reviewed;
  }

  /** Removes a request whose caller has left; returns false if it is not waiting. */
  cancel(request: OrderedRequest): boolean {
    const before = this.size;
    const isOther = (queued: QueuedRequest): boolean => queued.request !== request;
    this.#queue = this.#queue.filter(isOther);
    this.#displaced = this.#displaced.filter(isOther);
    return this.size < before;
  }

  /** Removes and refuses all waiting requests, because the node stops. */
  refuseAll(): readonly ReviewedRequest[] {
    const refused = [...this.#queue, ...this.#displaced].map(({ request }) => ({
      request,
      decision: this.#refused(request, 'target-of-more-urgent', 0),
    }));
    this.#queue = [];
    this.#displaced = [];
    return refused;
  }

  #decide(request: OrderedRequest, outlook: ServiceOutlook | undefined): GateDecision {
    if (!outlook) return ADMIT;
    const { clock, isUninformed } = this.#options;
    const now = clock.monotonic();
    const firstTokenMs = this.#firstTokenMs(outlook.estimate);
    const waitsUntil = this.#waitsUntil(request, firstTokenMs);
    if (isUninformed()) return now < waitsUntil ? WAIT : ADMIT;
    if (firstTokenMs <= QUIET_SHARE * this.#classes.smallestTargetMs) return ADMIT;
    const excessMs = this.#excessMs(request, outlook);
    this.#trend.observe(excessMs);
    if (excessMs === -Infinity || this.#hasRoom(outlook)) return ADMIT;
    if (now + firstTokenMs >= request.deadlineAt) {
      return this.#refused(request, 'deadline', Math.max(0, excessMs));
    }
    if (excessMs <= 0) return ADMIT;
    if (now < waitsUntil) return WAIT;
    return this.#refused(request, 'target-of-more-urgent', excessMs);
  }

  /** Time by which a more urgent class would be expected to pass its level, in milliseconds. */
  #excessMs({ priority }: OrderedRequest, { estimateAfter, runners }: ServiceOutlook): number {
    const unreportedMs = this.#unreportedMs(runners);
    const excesses = this.#classes
      .moreUrgentThan(priority)
      .flatMap(({ latencyTargetMs, prefillTokens }) => {
        const estimate = estimateAfter(prefillTokens);
        const levelMs = TARGET_SHARE * latencyTargetMs;
        // A class whose prompts alone take longer misses its target whatever is held back.
        if (!estimate || estimate.prefillMs >= levelMs) return [];
        return [this.#firstTokenMs(estimate) + unreportedMs - levelMs];
      });
    return Math.max(-Infinity, ...excesses);
  }

  /** Other nodes, which this one has no reports of, are taken to have sent as much as those it hears. */
  #firstTokenMs({ waitMs, prefillMs }: FirstTokenEstimate): number {
    return waitMs * this.#options.unheardFactor() + prefillMs;
  }

  /**
   * Backlog at each runner that the other nodes have not reported so far: they see the same room, and are
   * taken to have filled it since their last reports as this node has. Without it each node would fill
   * all of the room.
   */
  #unreportedMs(runners: number): number {
    const { count, periodMs } = this.#options.peers();
    return count === 0 ? 0 : (count * this.#admitted.within(periodMs)) / Math.max(1, runners);
  }

  #recordAdmitted(request: OrderedRequest): void {
    const { order, peers } = this.#options;
    this.#admitted.add(order.prefillMs(request), peers().periodMs);
  }

  #hasRoom({ occupancy, estimate }: ServiceOutlook): boolean {
    const factor = this.#options.unheardFactor();
    if (estimate.waitMs * factor > MAX_RUNNING_MS) return false;
    const { slots, inFlight, hasWaiting } = occupancy();
    return !hasWaiting && inFlight * factor < slots * MAX_USED_SHARE;
  }

  /** Until when the request may wait: an eighth of its target, and not beyond a sending that meets it. */
  #waitsUntil(
    { latencyTargetMs, arrivedAt, deadlineAt }: OrderedRequest,
    firstTokenMs: number,
  ): number {
    const targetMs = latencyTargetMs > 0 ? latencyTargetMs : deadlineAt - arrivedAt;
    return arrivedAt + Math.min(targetMs * MAX_WAIT_SHARE, targetMs - firstTokenMs);
  }

  /** A full queue gives up the last request in the order. */
  #enqueue(queued: QueuedRequest): GateDecision {
    const { order } = this.#options;
    if (this.#queue.length < MAX_QUEUED) {
      this.#queue = [...this.#queue, queued];
      return WAIT;
    }
    const last = this.#queue.reduce((a, b) => (order.compare(a.request, b.request) <= 0 ? b : a));
    if (order.compare(queued.request, last.request) >= 0) {
      return this.#refused(queued.request, 'displaced', this.#trend.latestMs);
    }
    this.#displaced = [...this.#displaced, last];
    this.#queue = [...this.#queue.filter((other) => other !== last), queued];
    return WAIT;
  }

  #refused(request: OrderedRequest, reason: Refused['reason'], excessMs: number): Refused {
    const { clock, random } = this.#options;
    const retryAfterMs = spreadRetryMs({
      expectedMs: this.#trend.drainMs(excessMs),
      remainingMs: request.deadlineAt - clock.monotonic(),
      random,
    });
    return { kind: 'refuse', reason, retryAfterMs };
  }
}
