import type { AdmissionRequest } from '../types/admission-request.ts';
import { FairShares } from './fair-shares.ts';
import { TenantQueue } from './tenant-queue.ts';

const DEFAULT_WEIGHT = 1;

/** Requests of one class, shared fairly among tenants by cost. */
export class ClassQueue {
  readonly #weights: ReadonlyMap<string, number>;
  readonly #tenants = new Map<string, TenantQueue>();
  readonly #shares = new FairShares<string>();
  #size = 0;

  constructor(weights: ReadonlyMap<string, number>) {
    this.#weights = weights;
  }

  get size(): number {
    return this.#size;
  }

  /** Sum of the costs of all requests. */
  get cost(): number {
    return [...this.#tenants.values()].reduce((sum, queue) => sum + queue.cost, 0);
  }

  /** Earliest deadline of all requests. */
  get earliestDeadlineAt(): number {
    const heads = [...this.#tenants.values()].map(({ head }) => head?.deadlineAt ?? Infinity);
    return Math.min(Infinity, ...heads);
  }

  /** Number of requests of a tenant. */
  sizeOf(tenant: string): number {
    return this.#tenants.get(tenant)?.size ?? 0;
  }

  /** Part of this class's service that a tenant receives while the present ones compete. */
  shareOf(tenant: string): number {
    return this.#shares.share(tenant, this.#weightOf(tenant));
  }

  /** Cost of the tenant's own requests that are served before one with the given deadline. */
  costBefore(tenant: string, deadlineAt: number): number {
    return this.#tenants.get(tenant)?.costBefore(deadlineAt) ?? 0;
  }

  add(request: AdmissionRequest): void {
    const queue =
      this.#tenants.get(request.tenant) ?? new TenantQueue(this.#weightOf(request.tenant));
    this.#tenants.set(request.tenant, queue);
    queue.add(request);
    this.#size += 1;
    this.#shares.activate(request.tenant, queue.weight);
  }

  /** Removes and returns the request to be served next. */
  take(): AdmissionRequest | undefined {
    const tenant = this.#shares.next();
    if (tenant === undefined) return undefined;
    const request = this.#tenants.get(tenant)?.takeHead();
    if (!request) return undefined;
    this.#shares.charge(tenant, request.cost);
    this.#removed(tenant, 1);
    return request;
  }

  /** Corrects the charge of a served request to its real cost. */
  correct(request: AdmissionRequest, cost: number): void {
    const weight = this.#weightOf(request.tenant);
    this.#shares.correct(request.tenant, cost - request.cost, weight);
  }

  /** Removes a request that its caller gave up. */
  remove(request: AdmissionRequest): boolean {
    const removed = this.#tenants.get(request.tenant)?.remove(request.id);
    if (removed) this.#removed(request.tenant, 1);
    return removed !== undefined;
  }

  /** Removes the requests that cannot start by their deadlines. */
  takeHopeless(now: number, drainMs: (cost: number) => number): readonly AdmissionRequest[] {
    return [...this.#tenants].flatMap(([tenant, queue]) => {
      const hopeless = queue.takeHopeless(now, drainMs);
      this.#removed(tenant, hopeless.length);
      return hopeless;
    });
  }

  /**
   * Removes the latest request of the tenant that exceeds its share of the queue's places most,
   * when `tenant` itself is below its share.
   */
  displaceFor(tenant: string): AdmissionRequest | undefined {
    const names = new Set([...this.#tenants.keys(), tenant]);
    const weights = [...names].reduce((sum, name) => sum + this.#weightOf(name), 0);
    const excess = (name: string): number =>
      this.sizeOf(name) - (this.#weightOf(name) / weights) * this.#size;
    if (excess(tenant) >= 0) return undefined;
    const others = [...this.#tenants.keys()].filter((name) => name !== tenant);
    const largest = others.reduce<string | undefined>(
      (best, name) => (best === undefined || excess(name) > excess(best) ? name : best),
      undefined,
    );
    if (largest === undefined || excess(largest) < 1) return undefined;
    const request = this.#tenants.get(largest)?.takeTail();
    this.#removed(largest, 1);
    return request;
  }

  #weightOf(tenant: string): number {
    return this.#weights.get(tenant) ?? DEFAULT_WEIGHT;
  }

  #removed(tenant: string, count: number): void {
    this.#size -= count;
    if (this.sizeOf(tenant) > 0) return;
    this.#tenants.delete(tenant);
    this.#shares.deactivate(tenant);
  }
}
