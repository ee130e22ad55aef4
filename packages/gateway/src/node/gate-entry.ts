import type { OrderedRequest, GateDecision } from '@ragwortrudder/admission';
import type { Route, Service, Team } from '@ragwortrudder/catalog';
import type { PlacementRequest } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ChosenRunner } from '../types/chosen-runner.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { PassedRequest } from '../types/passed-request.ts';
import type { ServiceGate } from '../types/service-gate.ts';
import { orderedRequestOf } from '../utils/ordered-request-of.ts';
import { serviceOutlookOf } from '../utils/service-outlook-of.ts';
import type { RequestGates } from './request-gates.ts';
import type { RunnerSelection } from './runner-selection.ts';

interface GateEntryOptions extends Pick<
  ForwarderOptions,
  'clock' | 'random' | 'log' | 'metrics' | 'grace'
> {
  readonly gates: RequestGates;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  readonly passed?: PassedRequest;
  readonly selection: RunnerSelection;
  readonly placement: PlacementRequest;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

type Refused = Extract<GateDecision, { readonly kind: 'refuse' }>;

const HTTP_UNAVAILABLE = 503;

/** Place of a request in progress in the order of its service, and its wait at the gate. */
export class GateEntry {
  readonly #options: GateEntryOptions;
  readonly #gate: ServiceGate;
  readonly #request: OrderedRequest;
  #chosen: ChosenRunner | undefined;
  #isOpen = false;

  constructor(options: GateEntryOptions) {
    this.#options = options;
    this.#gate = options.gates.of(options.service.name);
    this.#request = orderedRequestOf(options);
  }

  /**
   * Settles once the request may be sent for the first time, with the runner that was chosen for it, if
   * the gate has looked at the runners, or once the entry is closed. Throws a `Refusal`.
   */
  async admit(): Promise<ChosenRunner | undefined> {
    this.#isOpen = true;
    this.#gate.shares.add(this.#request.team);
    const { service, passed } = this.#options;
    if (!service.engine || (passed?.sends ?? 0) > 0) return undefined;
    const offered = this.#gate.gate.offer(this.#request, () => this.#look());
    const decision = offered.kind === 'wait' ? await this.#wait() : offered;
    if (decision?.kind === 'refuse') throw this.#refusal(decision);
    return decision && this.#chosen;
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

  /** Ends the wait of the request, and records that it is no longer in progress. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#options.gates.cancel(this.#request, this.#gate);
    this.#gate.shares.remove(this.#request.team);
  }

  async #wait(): Promise<Exclude<GateDecision, { readonly kind: 'wait' }> | undefined> {
    const { gates, request, route, log, metrics } = this.#options;
    const decision = await gates.wait(this.#request);
    if (decision?.kind !== 'admit') return decision;
    metrics.count('gate_admitted_after_wait', { route: route.name });
    log.routine('request-admitted', {
      request: request.id,
      route: route.name,
      waitedMs: this.#waitedMs,
    });
    return decision;
  }

  #look(): ReturnType<typeof serviceOutlookOf> | undefined {
    const { selection, placement, random } = this.#options;
    const survey = selection.survey();
    this.#chosen = survey?.chosen;
    return survey && serviceOutlookOf({ survey, placement, random });
  }

  #refusal({ reason, retryAfterMs }: Refused): Refusal {
    const { route, service, team, metrics } = this.#options;
    metrics.count('gate_refused', { route: route.name });
    return new Refusal('service-overloaded', {
      status: HTTP_UNAVAILABLE,
      retryAfterMs,
      inputs: {
        route: route.name,
        team: team?.name,
        service: service.name,
        reason,
        priority: this.#request.priority,
        expectedMs: this.#chosen && Math.round(this.#chosen.expectedMs),
        waitedMs: this.#waitedMs,
      },
    });
  }

  get #waitedMs(): number {
    return Math.round(this.#options.clock.monotonic() - this.#request.arrivedAt);
  }
}
