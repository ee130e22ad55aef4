import type { OrderedRequest } from '@ragwortrudder/admission';
import type { Route, Service, Team } from '@ragwortrudder/catalog';
import type { PlacementRequest } from '@ragwortrudder/routing';
import type { ServiceGate } from '../types/service-gate.ts';
import { orderedRequestOf } from '../utils/ordered-request-of.ts';
import type { RequestGates } from './request-gates.ts';

interface GateEntryOptions {
  readonly gates: RequestGates;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  readonly placement: PlacementRequest;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** Place of a request in progress in the order of its service. */
export class GateEntry {
  readonly #options: GateEntryOptions;
  readonly #gate: ServiceGate;
  readonly #request: OrderedRequest;
  #isOpen = false;

  constructor(options: GateEntryOptions) {
    this.#options = options;
    this.#gate = options.gates.of(options.service.name);
    this.#request = orderedRequestOf(options);
  }

  /** Records that the request is in progress. */
  open(): void {
    this.#isOpen = true;
    this.#gate.shares.add(this.#request.team);
  }

  /**
   * Priority at a model engine; undefined for another runner. The target of a stream is that of its
   * first event, so it is not missed by a stream that has begun.
   */
  enginePriority(hasBegun: boolean): number | undefined {
    if (!this.#options.service.engine) return undefined;
    const request = hasBegun ? { ...this.#request, latencyTargetMs: 0 } : this.#request;
    return this.#gate.order.enginePriorityOf(request);
  }

  /** Records that the request is no longer in progress. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#gate.shares.remove(this.#request.team);
  }
}
