import type { AdmissionRequest } from '../types/admission-request.ts';

/** Requests of one tenant and class, earliest deadline first. */
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

  /** Adds a request behind those whose deadlines are not later. */
  add(request: AdmissionRequest): void {
    const at = this.#requests.findIndex(({ deadlineAt }) => deadlineAt > request.deadlineAt);
    const place = at < 0 ? this.#requests.length : at;
    this.#requests = this.#requests.toSpliced(place, 0, request);
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

  /** Removes a request; returns it, or `undefined` when it is not queued. */
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
   * Removes the requests that cannot start by their deadlines even if this queue alone were
   * served; `drainMs` gives the time in which a cost drains.
   */
  takeHopeless(now: number, drainMs: (cost: number) => number): readonly AdmissionRequest[] {
    const kept: AdmissionRequest[] = [];
    const hopeless: AdmissionRequest[] = [];
    let ahead = 0;
    for (const request of this.#requests) {
      const canStart = now + drainMs(ahead) <= request.deadlineAt;
      if (canStart) ahead += request.cost;
      (canStart ? kept : hopeless).push(request);
    }
    this.#requests = kept;
    this.#cost = ahead;
    return hopeless;
  }

  #removeAt(index: number): AdmissionRequest | undefined {
    const request = this.#requests[index];
    if (!request) return undefined;
    this.#requests = this.#requests.toSpliced(index, 1);
    this.#cost = this.#requests.length === 0 ? 0 : this.#cost - request.cost;
    return request;
  }
}
