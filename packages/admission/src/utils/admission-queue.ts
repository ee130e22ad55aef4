import type { Admission } from '../types/admission.ts';
import type { AdmissionQueueOptions } from '../types/admission-queue-options.ts';
import type { AdmissionRequest } from '../types/admission-request.ts';
import type { DroppedRequest } from '../types/dropped-request.ts';
import type { QueueSizes } from '../types/queue-sizes.ts';
import type { RefusalReason } from '../types/refusal-reason.ts';
import type { Refused } from '../types/refused.ts';
import type { RequestClass } from '../types/request-class.ts';
import { ClassQueue } from './class-queue.ts';
import { DrainRate } from './drain-rate.ts';
import { FairScheduler } from './fair-scheduler.ts';

const DEFAULT_MAX_QUEUED = 1024;
const DEFAULT_MAX_TENANT_SHARE = 0.5;
const DEFAULT_CLASS_WEIGHTS: Readonly<Record<RequestClass, number>> = { interactive: 9, batch: 1 };
const DEFAULT_MAX_RETRY_AFTER_MS = 60_000;
const MIN_RETRY_AFTER_MS = 100;
/** Maximum random extension of retry delays, as a fraction of the delay, to spread retries. */
const MAX_RETRY_JITTER = 0.5;
/** Safety factor on estimated waits, so that few accepted requests expire. */
const WAIT_MARGIN = 1.6;
/**
 * A queued request is dropped only if it would miss its deadline even at this multiple of the drain
 * rate.
 */
const OPTIMISTIC_DRAIN_FACTOR = 2;
const CLASSES: readonly RequestClass[] = ['interactive', 'batch'];

/**
 * Bounded queue of requests that wait for a runner. Classes share the capacity by weight, so batch
 * work is delayed but never starved; within a class, tenants share it by weight and cost; within a
 * tenant, the request with the earliest deadline is served first. A request whose estimated wait
 * exceeds its deadline is refused when it is offered.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #weights: Readonly<Record<RequestClass, number>>;
  readonly #classes: Readonly<Record<RequestClass, ClassQueue>>;
  readonly #scheduler = new FairScheduler<RequestClass>();
  readonly #drainRate: DrainRate;
  readonly #queued = new Map<string, AdmissionRequest>();
  #dropped: readonly DroppedRequest[] = [];

  constructor(options: AdmissionQueueOptions) {
    const tenantWeights = options.tenantWeights ?? new Map<string, number>();
    this.#options = options;
    this.#weights = options.classWeights ?? DEFAULT_CLASS_WEIGHTS;
    this.#classes = {
      interactive: new ClassQueue(tenantWeights),
      batch: new ClassQueue(tenantWeights),
    };
    this.#drainRate = new DrainRate(options.initialDrainRate ?? Infinity);
  }

  /** Number of queued requests by class. */
  get sizes(): QueueSizes {
    return { interactive: this.#classes.interactive.size, batch: this.#classes.batch.size };
  }

  /** Cost drained per second, measured while requests are waiting. */
  get drainRate(): number {
    return this.#drainRate.perSecond;
  }

  /** Queues a request or refuses it immediately. */
  offer(request: AdmissionRequest, now: number): Admission {
    this.#drainRate.observe(this.#queued.size > 0, now);
    if (request.deadlineAt < now) return this.#refused('deadline-passed', this.#backlogMs());
    const waitMs = this.waitMs(request);
    const excessMs = now + waitMs * WAIT_MARGIN - request.deadlineAt;
    if (excessMs > 0) return this.#refused('wait-exceeds-deadline', excessMs);
    const refusal = this.#makeRoom(request);
    if (refusal) return this.#refused(refusal, this.#backlogMs() / 2);
    this.#add(request);
    return { state: 'queued', waitMs };
  }

  /** Removes and returns the next request to run. */
  take(now: number): AdmissionRequest | undefined {
    this.#dropInfeasible(now);
    const name = this.#scheduler.next();
    const request = name && this.#classes[name].take();
    if (!request) return undefined;
    this.#scheduler.charge(request.class, request.cost);
    this.#removeEntry(request);
    this.#drainRate.recordDrained(request.cost);
    this.#drainRate.observe(this.#queued.size > 0, now);
    return request;
  }

  /**
   * Removes and returns the dropped requests: those whose deadlines can no longer be met and those
   * displaced by tenants below their share. Each request is returned once.
   */
  takeDropped(now: number): readonly DroppedRequest[] {
    this.#drainRate.observe(this.#queued.size > 0, now);
    this.#dropInfeasible(now);
    const dropped = this.#dropped;
    this.#dropped = [];
    return dropped;
  }

  /** Adjusts the charge of a taken request from its estimated to its actual cost. */
  adjustCost(request: AdmissionRequest, cost: number): void {
    this.#classes[request.class].adjustCost(request, cost);
  }

  /** Removes a queued request that its caller cancelled; returns false when it is not queued. */
  cancel(id: string): boolean {
    const request = this.#queued.get(id);
    if (!request) return false;
    this.#classes[request.class].remove(request);
    this.#removeEntry(request);
    return true;
  }

  /** Monotonic time at which {@link takeDropped} has a request to return, unless it is taken before. */
  nextDropAt(): number {
    if (this.#dropped.length > 0) return -Infinity;
    return Math.min(...CLASSES.map((name) => this.#classes[name].earliestDeadlineAt));
  }

  /** Estimated wait in milliseconds of a request if it were offered now. */
  waitMs(request: AdmissionRequest): number {
    const queue = this.#classes[request.class];
    const classShare = this.#scheduler.share(request.class, this.#weights[request.class]);
    const share = classShare * queue.shareOf(request.tenant);
    const ownCost = queue.costBefore(request.tenant, request.deadlineAt);
    return Math.min(this.#drainRate.drainMs(ownCost / share), this.#backlogMs());
  }

  #backlogMs(): number {
    return this.#drainRate.drainMs(
      CLASSES.reduce((sum, name) => sum + this.#classes[name].cost, 0),
    );
  }

  /** Displaces a request if the queue is full; returns the refusal reason if there is no room. */
  #makeRoom(request: AdmissionRequest): RefusalReason | undefined {
    const { maxQueued = DEFAULT_MAX_QUEUED, maxTenantShare = DEFAULT_MAX_TENANT_SHARE } =
      this.#options;
    const queue = this.#classes[request.class];
    if (queue.sizeOf(request.tenant) >= maxQueued * maxTenantShare) return 'tenant-queue-full';
    if (queue.size < maxQueued) return undefined;
    const displaced = queue.displaceFor(request.tenant);
    if (!displaced) return 'queue-full';
    this.#drop(displaced, 'displaced', this.#backlogMs());
    return undefined;
  }

  #add(request: AdmissionRequest): void {
    this.#classes[request.class].add(request);
    this.#queued.set(request.id, request);
    this.#scheduler.activate(request.class, this.#weights[request.class]);
  }

  #dropInfeasible(now: number): void {
    const drainMs = (cost: number): number =>
      this.#drainRate.drainMs(cost) / OPTIMISTIC_DRAIN_FACTOR;
    for (const name of CLASSES) {
      const infeasible = this.#classes[name].takeInfeasible(now, drainMs);
      for (const request of infeasible) this.#drop(request, 'deadline-passed', this.#backlogMs());
    }
  }

  #drop(request: AdmissionRequest, reason: RefusalReason, delayMs: number): void {
    const retryAfterMs = this.#retryAfterMs(delayMs);
    this.#dropped = [...this.#dropped, { request, reason, retryAfterMs }];
    this.#removeEntry(request);
  }

  #removeEntry(request: AdmissionRequest): void {
    this.#queued.delete(request.id);
    if (this.#classes[request.class].size === 0) this.#scheduler.deactivate(request.class);
  }

  #refused(reason: RefusalReason, delayMs: number): Refused {
    return { state: 'refused', reason, retryAfterMs: this.#retryAfterMs(delayMs) };
  }

  #retryAfterMs(delayMs: number): number {
    const { random, maxRetryAfterMs = DEFAULT_MAX_RETRY_AFTER_MS } = this.#options;
    const jitter = 1 + MAX_RETRY_JITTER * random.next();
    const bounded = Math.min(maxRetryAfterMs, Math.max(MIN_RETRY_AFTER_MS, delayMs) * jitter);
    return Math.ceil(bounded);
  }
}
