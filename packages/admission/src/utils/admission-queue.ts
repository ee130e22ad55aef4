import type { Admission } from '../types/admission.ts';
import type { AdmissionQueueOptions } from '../types/admission-queue-options.ts';
import type { AdmissionRequest } from '../types/admission-request.ts';
import type { ExpiredRequest } from '../types/expired-request.ts';
import type { QueueSizes } from '../types/queue-sizes.ts';
import type { RefusalReason } from '../types/refusal-reason.ts';
import type { Refused } from '../types/refused.ts';
import type { RequestClass } from '../types/request-class.ts';
import { ClassQueue } from './class-queue.ts';
import { DrainRate } from './drain-rate.ts';
import { FairShares } from './fair-shares.ts';

const DEFAULT_MAX_QUEUED = 1024;
const DEFAULT_MAX_TENANT_SHARE = 0.5;
const DEFAULT_CLASS_WEIGHTS: Readonly<Record<RequestClass, number>> = { interactive: 9, batch: 1 };
const DEFAULT_MAX_RETRY_AFTER_MS = 60_000;
const MIN_RETRY_AFTER_MS = 100;
/** Retry delays are lengthened by a random part up to this one, to spread the retries. */
const RETRY_JITTER = 0.5;
/** Estimated waits are taken longer by this factor, so that few accepted requests expire. */
const WAIT_MARGIN = 1.6;
/** A queued request is given up only when even this multiple of the drain rate comes too late. */
const OPTIMISM = 2;
const CLASSES: readonly RequestClass[] = ['interactive', 'batch'];

/**
 * Bounded queue of requests that wait for a runner. Classes share the service by weight, so batch
 * work waits but is never starved; within a class tenants share it by weight and cost; within a
 * tenant the earliest deadline goes first. A request whose estimated wait exceeds its deadline is
 * refused when it is offered.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #weights: Readonly<Record<RequestClass, number>>;
  readonly #classes: Readonly<Record<RequestClass, ClassQueue>>;
  readonly #shares = new FairShares<RequestClass>();
  readonly #rate: DrainRate;
  readonly #queued = new Map<string, AdmissionRequest>();
  #ended: readonly ExpiredRequest[] = [];

  constructor(options: AdmissionQueueOptions) {
    const tenantWeights = options.tenantWeights ?? new Map<string, number>();
    this.#options = options;
    this.#weights = options.classWeights ?? DEFAULT_CLASS_WEIGHTS;
    this.#classes = {
      interactive: new ClassQueue(tenantWeights),
      batch: new ClassQueue(tenantWeights),
    };
    this.#rate = new DrainRate(options.initialDrainRate ?? Infinity);
  }

  /** Number of queued requests by class. */
  get sizes(): QueueSizes {
    return { interactive: this.#classes.interactive.size, batch: this.#classes.batch.size };
  }

  /** Measured cost drained per second while requests waited. */
  get drainRate(): number {
    return this.#rate.perSecond;
  }

  /** Queues a request or refuses it at once. */
  offer(request: AdmissionRequest, now: number): Admission {
    this.#rate.observe(this.#queued.size > 0, now);
    if (request.deadlineAt < now) return this.#refused('deadline-passed', this.#backlogMs());
    const waitMs = this.waitMs(request);
    const excessMs = now + waitMs * WAIT_MARGIN - request.deadlineAt;
    if (excessMs > 0) return this.#refused('wait-exceeds-deadline', excessMs);
    const full = this.#makeRoom(request);
    if (full) return this.#refused(full, this.#backlogMs() / 2);
    this.#add(request);
    return { state: 'queued', waitMs };
  }

  /** Removes and returns the request to be run next. */
  take(now: number): AdmissionRequest | undefined {
    this.#dropHopeless(now);
    const name = this.#shares.next();
    const request = name && this.#classes[name].take();
    if (!request) return undefined;
    this.#shares.charge(request.class, request.cost);
    this.#forget(request);
    this.#rate.drained(request.cost);
    this.#rate.observe(this.#queued.size > 0, now);
    return request;
  }

  /**
   * Returns the requests that will not be run: those whose deadlines can no longer be met and
   * those displaced by tenants below their share. Each is returned once.
   */
  expire(now: number): readonly ExpiredRequest[] {
    this.#rate.observe(this.#queued.size > 0, now);
    this.#dropHopeless(now);
    const ended = this.#ended;
    this.#ended = [];
    return ended;
  }

  /** Corrects the charge of a request that was taken to the cost that it really had. */
  settle(request: AdmissionRequest, cost: number): void {
    this.#classes[request.class].correct(request, cost);
  }

  /** Removes a queued request that its caller gave up; false when it is not queued. */
  cancel(id: string): boolean {
    const request = this.#queued.get(id);
    if (!request) return false;
    this.#classes[request.class].remove(request);
    this.#forget(request);
    return true;
  }

  /** Monotonic time at which {@link expire} next has something to return, unless requests are taken. */
  nextWakeAt(): number {
    if (this.#ended.length > 0) return -Infinity;
    return Math.min(...CLASSES.map((name) => this.#classes[name].earliestDeadlineAt));
  }

  /** Estimated wait of a request in milliseconds if it were offered. */
  waitMs(request: AdmissionRequest): number {
    const queue = this.#classes[request.class];
    const classShare = this.#shares.share(request.class, this.#weights[request.class]);
    const share = classShare * queue.shareOf(request.tenant);
    const own = queue.costBefore(request.tenant, request.deadlineAt);
    return Math.min(this.#rate.drainMs(own / share), this.#backlogMs());
  }

  #backlogMs(): number {
    return this.#rate.drainMs(CLASSES.reduce((sum, name) => sum + this.#classes[name].cost, 0));
  }

  /** Returns why there is no room, or makes some. */
  #makeRoom(request: AdmissionRequest): RefusalReason | undefined {
    const { maxQueued = DEFAULT_MAX_QUEUED, maxTenantShare = DEFAULT_MAX_TENANT_SHARE } =
      this.#options;
    const queue = this.#classes[request.class];
    if (queue.sizeOf(request.tenant) >= maxQueued * maxTenantShare) return 'tenant-queue-full';
    if (queue.size < maxQueued) return undefined;
    const displaced = queue.displaceFor(request.tenant);
    if (!displaced) return 'queue-full';
    this.#end(displaced, 'displaced', this.#backlogMs());
    return undefined;
  }

  #add(request: AdmissionRequest): void {
    this.#classes[request.class].add(request);
    this.#queued.set(request.id, request);
    this.#shares.activate(request.class, this.#weights[request.class]);
  }

  #dropHopeless(now: number): void {
    const drainMs = (cost: number): number => this.#rate.drainMs(cost) / OPTIMISM;
    for (const name of CLASSES) {
      const hopeless = this.#classes[name].takeHopeless(now, drainMs);
      for (const request of hopeless) this.#end(request, 'deadline-passed', this.#backlogMs());
    }
  }

  #end(request: AdmissionRequest, reason: RefusalReason, delayMs: number): void {
    const retryAfterMs = this.#retryAfterMs(delayMs);
    this.#ended = [...this.#ended, { request, reason, retryAfterMs }];
    this.#forget(request);
  }

  #forget(request: AdmissionRequest): void {
    this.#queued.delete(request.id);
    if (this.#classes[request.class].size === 0) this.#shares.deactivate(request.class);
  }

  #refused(reason: RefusalReason, delayMs: number): Refused {
    return { state: 'refused', reason, retryAfterMs: this.#retryAfterMs(delayMs) };
  }

  #retryAfterMs(delayMs: number): number {
    const { random, maxRetryAfterMs = DEFAULT_MAX_RETRY_AFTER_MS } = this.#options;
    const jitter = 1 + RETRY_JITTER * random.next();
    const bounded = Math.min(maxRetryAfterMs, Math.max(MIN_RETRY_AFTER_MS, delayMs) * jitter);
    return Math.ceil(bounded);
  }
}
