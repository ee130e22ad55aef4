import type { AdmissionRequest } from '../types/admission-request.ts';

/** Queued requests of one tenant and class, ordered by deadline. */
export class TenantQueue {
  readonly weight: number;
  #requests: readonly AdmissionRequest[] = [];
  #cost = 0;

  constructor(weight: number) {
    this.weight = weight;
  }

  get size(): number {
    return this.#requests.length;
  }

  /** Sum of the costs of all requests. */
  get cost(): number {
    return this.#cost;
  }

  /** Request with the earliest deadline. */
  get head(): AdmissionRequest | undefined {
    return this.#requests[0];
  }

  /** Inserts a request after those with the same or an earlier deadline. */
  add(request: AdmissionRequest): void {
    const nextIndex = this.#requests.findIndex(({ deadlineAt }) => deadlineAt > request.deadlineAt);
    const insertIndex = nextIndex < 0 ? this.#requests.length : nextIndex;
    this.#requests = this.#requests.toSpliced(insertIndex, 0, request);
    this.#cost += request.cost;
  }

  /** Removes and returns the request with the earliest deadline. */
  takeHead(): AdmissionRequest | undefined {
    return this.#removeAt(0);
  }

  /** Removes and returns the request with the latest deadline. */
  takeTail(): AdmissionRequest | undefined {
    return this.#removeAt(this.#requests.length - 1);
  }

  /** Removes and returns a request; `undefined` when it is not queued. */
  remove(id: string): AdmissionRequest | undefined {
    return this.#removeAt(this.#requests.findIndex((request) => request.id === id));
  }

  /** Cost of the requests that are served before one with the given deadline. */
  costBefore(deadlineAt: number): number {
    let cost = 0;
    for (const request of this.#requests) {
      if (request.deadlineAt > deadlineAt) break;
      cost += request.cost;
    }
    return cost;
  }

  /**
   * Removes and returns the requests that could not start by their deadlines even if only this
   * queue were served; `drainMs` returns the time that a cost takes to drain.
   */
  takeInfeasible(now: number, drainMs: (cost: number) => number): readonly AdmissionRequest[] {
    const kept: AdmissionRequest[] = [];
    const infeasible: AdmissionRequest[] = [];
    let costAhead = 0;
    for (const request of this.#requests) {
      const canStart = now + drainMs(costAhead) <= request.deadlineAt;
      if (canStart) costAhead += request.cost;
      (canStart ? kept : infeasible).push(request);
    }
    this.#requests = kept;
    this.#cost = costAhead;
    return infeasible;
  }

  #removeAt(index: number): AdmissionRequest | undefined {
    const request = this.#requests[index];
    if (!request) return undefined;
    this.#requests = this.#requests.toSpliced(index, 1);
    this.#cost = this.#requests.length === 0 ? 0 : this.#cost - request.cost;
    return request;
  }
}
