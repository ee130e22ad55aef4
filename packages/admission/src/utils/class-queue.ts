import type { AdmissionRequest } from '../types/admission-request.ts';
import { FairScheduler } from './fair-scheduler.ts';
import { TenantQueue } from './tenant-queue.ts';

const DEFAULT_WEIGHT = 1;

/** Queued requests of one class, served fairly among tenants by weight and cost. */
export class ClassQueue {
  readonly #weights: ReadonlyMap<string, number>;
  readonly #tenants = new Map<string, TenantQueue>();
  readonly #scheduler = new FairScheduler<string>();
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

  /** Earliest deadline of all requests; `Infinity` when the queue is empty. */
  get earliestDeadlineAt(): number {
    const heads = [...this.#tenants.values()].map(({ head }) => head?.deadlineAt ?? Infinity);
    return Math.min(Infinity, ...heads);
  }

  /** Number of queued requests of a tenant. */
  sizeOf(tenant: string): number {
    return this.#tenants.get(tenant)?.size ?? 0;
  }

  /** Fraction of this class's capacity that a tenant receives while the active tenants compete. */
  shareOf(tenant: string): number {
    return this.#scheduler.share(tenant, this.#weightOf(tenant));
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
    this.#scheduler.activate(request.tenant, queue.weight);
  }

  /** Removes and returns the next request to serve. */
  take(): AdmissionRequest | undefined {
    const tenant = this.#scheduler.next();
    if (tenant === undefined) return undefined;
    const request = this.#tenants.get(tenant)?.takeHead();
    if (!request) return undefined;
    this.#scheduler.charge(tenant, request.cost);
    this.#recordRemoval(tenant, 1);
    return request;
  }

  /** Adjusts the charge of a served request to its actual cost. */
  adjustCost(request: AdmissionRequest, cost: number): void {
    const weight = this.#weightOf(request.tenant);
    this.#scheduler.adjust(request.tenant, cost - request.cost, weight);
  }

  /** Removes a request that its caller cancelled; returns false when it is not queued. */
  remove(request: AdmissionRequest): boolean {
    const removed = this.#tenants.get(request.tenant)?.remove(request.id);
    if (removed) this.#recordRemoval(request.tenant, 1);
    return removed !== undefined;
  }

  /** Removes and returns the requests that cannot start by their deadlines. */
  takeInfeasible(now: number, drainMs: (cost: number) => number): readonly AdmissionRequest[] {
    return [...this.#tenants].flatMap(([tenant, queue]) => {
      const infeasible = queue.takeInfeasible(now, drainMs);
      this.#recordRemoval(tenant, infeasible.length);
      return infeasible;
    });
  }

  /**
   * Removes and returns the last request of the tenant that most exceeds its fair share of the
   * queue, provided that `tenant` itself is below its share.
   */
  displaceFor(tenant: string): AdmissionRequest | undefined {
    const names = new Set([...this.#tenants.keys(), tenant]);
    const totalWeight = [...names].reduce((sum, name) => sum + this.#weightOf(name), 0);
    const excessOf = (name: string): number =>
      this.sizeOf(name) - (this.#weightOf(name) / totalWeight) * this.#size;
    if (excessOf(tenant) >= 0) return undefined;
    const others = [...this.#tenants.keys()].filter((name) => name !== tenant);
    const mostOverShare = others.reduce<string | undefined>(
      (best, name) => (best === undefined || excessOf(name) > excessOf(best) ? name : best),
      undefined,
    );
    if (mostOverShare === undefined || excessOf(mostOverShare) < 1) return undefined;
    const request = this.#tenants.get(mostOverShare)?.takeTail();
    this.#recordRemoval(mostOverShare, 1);
    return request;
  }

  #weightOf(tenant: string): number {
    return this.#weights.get(tenant) ?? DEFAULT_WEIGHT;
  }

  #recordRemoval(tenant: string, count: number): void {
    this.#size -= count;
    if (this.sizeOf(tenant) > 0) return;
    this.#tenants.delete(tenant);
    this.#scheduler.deactivate(tenant);
  }
}
