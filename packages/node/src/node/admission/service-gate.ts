import { AdmissionQueue } from '@ragwortrudder/admission';
import type { AdmissionRequest, RequestClass } from '@ragwortrudder/admission';
import type { Clock, Random } from '@ragwortrudder/core';
import { DeadlinePassed } from '../../errors/deadline-passed.ts';
import { Overloaded } from '../../errors/overloaded.ts';
import { estimateCost } from '../../utils/estimate-cost.ts';
import { ServiceTimeEstimator } from '../../utils/service-time-estimator.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';

interface ServiceGateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly maxQueued: number;
  readonly maxTenantShare: number;
  readonly interactiveWeight: number;
  readonly tenantWeights: ReadonlyMap<string, number>;
  /** Starts the request on a runner. Returns false when no runner has capacity for it. */
  readonly start: (owned: OwnedRequest) => boolean;
  /** Called with each request whose deadline can no longer be met, to end it. */
  readonly onExpired: (owned: OwnedRequest, failure: DeadlinePassed) => void;
}

/** Admission control of one service: the queue of its requests that wait for a runner. */
export class ServiceGate {
  readonly #options: ServiceGateOptions;
  readonly #queue: AdmissionQueue;
  readonly #serviceTime = new ServiceTimeEstimator();
  readonly #waiting = new Map<string, OwnedRequest>();
  readonly #offeredAt = new Map<string, number>();
  #resumed: OwnedRequest[] = [];

  constructor(options: ServiceGateOptions) {
    this.#options = options;
    const { random, maxQueued, maxTenantShare, interactiveWeight, tenantWeights } = options;
    const classWeights = { interactive: interactiveWeight, batch: 1 };
    this.#queue = new AdmissionQueue({
      random,
      maxQueued,
      maxTenantShare,
      classWeights,
      tenantWeights,
    });
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#waiting.size + this.#resumed.length;
  }

  /**
   * Queues a new request.
   * @throws {@link Overloaded} immediately when the request could not be run in time.
   */
  offer(owned: OwnedRequest): void {
    const now = this.#options.clock.monotonic();
    const admission = this.#queue.offer(this.#toAdmissionRequest(owned), now);
    if (admission.state === 'refused')
      throw new Overloaded(admission.reason, admission.retryAfterMs);
    owned.advance('QUEUE');
    this.#waiting.set(owned.request.id, owned);
    this.#offeredAt.set(owned.request.id, now);
  }

  /** Queues a request that was already accepted, ahead of new ones. */
  resume(owned: OwnedRequest): void {
    if (owned.ended) return;
    owned.advance('QUEUE');
    this.#resumed.push(owned);
    this.dispatch();
  }

  /** Removes a waiting request. Returns false when it is not in the queue of new requests. */
  withdraw(id: string): boolean {
    this.#resumed = this.#resumed.filter((owned) => owned.request.id !== id);
    this.#offeredAt.delete(id);
    this.#waiting.delete(id);
    return this.#queue.cancel(id);
  }

  /** Records how long runners took for a request, from its start to the end of its response. */
  recordServiceTime({ request }: OwnedRequest, elapsedMs: number): void {
    const { input } = request;
    this.#serviceTime.record({ class: request.class, cost: estimateCost(input) }, elapsedMs);
  }

  /** Starts as many requests as the runners have capacity for, resumed ones first. */
  dispatch(): void {
    this.#startResumed();
    if (this.#resumed.length > 0) return;
    while (this.#startNext());
  }

  /** Ends the requests whose deadline can no longer be met. */
  expire(): void {
    const now = this.#options.clock.monotonic();
    for (const { request, retryAfterMs } of this.#queue.takeDropped(now)) {
      const owned = this.#forget(request.id);
      if (owned) this.#options.onExpired(owned, new DeadlinePassed(retryAfterMs));
    }
    const expired = this.#resumed.filter((owned) => owned.remainingMs <= 0);
    this.#resumed = this.#resumed.filter((owned) => owned.remainingMs > 0 && !owned.ended);
    for (const owned of expired) this.#options.onExpired(owned, new DeadlinePassed(0));
  }

  #startResumed(): void {
    for (const owned of [...this.#resumed]) {
      if (!owned.ended && !this.#options.start(owned)) continue;
      this.#resumed = this.#resumed.filter((other) => other !== owned);
    }
  }

  #startNext(): boolean {
    const request = this.#queue.take(this.#options.clock.monotonic());
    if (!request) return false;
    const owned = this.#waiting.get(request.id);
    if (!owned || owned.ended) {
      this.#forget(request.id);
      return true;
    }
    this.#recordWait(owned);
    this.#forget(request.id);
    if (this.#options.start(owned)) return true;
    this.#resumed.push(owned);
    return false;
  }

  #recordWait(owned: OwnedRequest): void {
    const offeredAt = this.#offeredAt.get(owned.request.id);
    if (offeredAt === undefined) return;
    const waitMs = this.#options.clock.monotonic() - offeredAt;
    this.#options.metrics.observe('queue_wait', owned.request, waitMs);
  }

  #forget(id: string): OwnedRequest | undefined {
    const owned = this.#waiting.get(id);
    this.#waiting.delete(id);
    this.#offeredAt.delete(id);
    return owned;
  }

  /** The queue's deadline is the time by which the request must start in order to end in time. */
  #toAdmissionRequest({ request, remainingMs }: OwnedRequest): AdmissionRequest {
    const requestClass: RequestClass = request.class === 'batch' ? 'batch' : 'interactive';
    const cost = estimateCost(request.input);
    const startWithinMs = this.#serviceTime.startWithinMs(
      { class: request.class, cost },
      remainingMs,
    );
    return {
      id: request.id,
      tenant: request.tenant,
      class: requestClass,
      cost,
      deadlineAt: this.#options.clock.monotonic() + startWithinMs,
    };
  }
}
