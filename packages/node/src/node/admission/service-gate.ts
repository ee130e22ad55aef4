import { AdmissionQueue } from '@ragwortrudder/admission';
import type { AdmissionRequest, RequestClass } from '@ragwortrudder/admission';
import type { Clock, Random } from '@ragwortrudder/core';
import { DeadlinePassed } from '../../errors/deadline-passed.ts';
import { Overloaded } from '../../errors/overloaded.ts';
import { estimateCost } from '../../utils/estimate-cost.ts';
import { ServiceTime } from '../../utils/service-time.ts';
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
  /** Starts the request on a runner; false when no runner has room. */
  readonly start: (owned: OwnedRequest) => boolean;
  /** Ends a request that will not be run. */
  readonly giveUp: (owned: OwnedRequest, failure: DeadlinePassed) => void;
}

/** Requests of one service that wait for a runner. */
export class ServiceGate {
  readonly #options: ServiceGateOptions;
  readonly #queue: AdmissionQueue;
  readonly #serviceTime = new ServiceTime();
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

  /** Requests that wait. */
  get size(): number {
    return this.#waiting.size + this.#resumed.length;
  }

  /**
   * Queues a new request.
   * @throws {@link Overloaded} at once when it could not be run in time.
   */
  offer(owned: OwnedRequest): void {
    const now = this.#options.clock.monotonic();
    const admission = this.#queue.offer(this.#describe(owned), now);
    if (admission.state === 'refused')
      throw new Overloaded(admission.reason, admission.retryAfterMs);
    owned.advance('QUEUE');
    this.#waiting.set(owned.request.id, owned);
    this.#offeredAt.set(owned.request.id, now);
  }

  /** Queues a request that was accepted before, ahead of new ones. */
  resume(owned: OwnedRequest): void {
    if (owned.ended) return;
    owned.advance('QUEUE');
    this.#resumed.push(owned);
    this.pump();
  }

  /** Removes a request that waits; false when it does not. */
  withdraw(id: string): boolean {
    this.#resumed = this.#resumed.filter((owned) => owned.request.id !== id);
    this.#offeredAt.delete(id);
    this.#waiting.delete(id);
    return this.#queue.cancel(id);
  }

  /** Takes in how long runners took for a request, from its start to its whole answer. */
  served({ request }: OwnedRequest, elapsedMs: number): void {
    const { input } = request;
    this.#serviceTime.add({ class: request.class, cost: estimateCost(input) }, elapsedMs);
  }

  /** Starts as many requests as the runners have room for. */
  pump(): void {
    this.#startResumed();
    if (this.#resumed.length > 0) return;
    while (this.#startNext());
  }

  /** Ends the requests whose deadline can no longer be met. */
  expire(): void {
    const now = this.#options.clock.monotonic();
    for (const { request, retryAfterMs } of this.#queue.takeDropped(now)) {
      const owned = this.#forget(request.id);
      if (owned) this.#options.giveUp(owned, new DeadlinePassed(retryAfterMs));
    }
    const late = this.#resumed.filter((owned) => owned.remainingMs <= 0);
    this.#resumed = this.#resumed.filter((owned) => owned.remainingMs > 0 && !owned.ended);
    for (const owned of late) this.#options.giveUp(owned, new DeadlinePassed(0));
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
    this.#measureWait(owned);
    this.#forget(request.id);
    if (this.#options.start(owned)) return true;
    this.#resumed.push(owned);
    return false;
  }

  #measureWait(owned: OwnedRequest): void {
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

  /** The queue's deadline is the time by which the request must start to end in time. */
  #describe({ request, remainingMs }: OwnedRequest): AdmissionRequest {
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
