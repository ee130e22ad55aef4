import { AdmissionGate, RequestOrder, TeamShares } from '@ragwortrudder/admission';
import type { OrderedRequest, ReviewedRequest, ServiceClass } from '@ragwortrudder/admission';
import type { Configuration } from '@ragwortrudder/catalog';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { ServiceGate } from '../types/service-gate.ts';
import { serviceClassesOf } from '../utils/service-classes-of.ts';
import type { Peers } from './peers.ts';

interface RequestGatesOptions extends Pick<
  ForwarderOptions,
  'clock' | 'random' | 'pool' | 'grace'
> {
  readonly peers: Pick<Peers, 'knownCount' | 'reachableCount' | 'timing'>;
}

type Settle = (decision: ReviewedRequest['decision'] | undefined) => void;

/** Period in which the waiting requests are reviewed, in milliseconds; far below an eighth of any target. */
const REVIEW_PERIOD_MS = 10;

/**
 * Admission gates of the services, and the requests that wait at them. A timer runs only while a request
 * waits.
 */
export class RequestGates {
  readonly #options: RequestGatesOptions;
  readonly #gates = new Map<string, ServiceGate>();
  readonly #waiting = new Map<OrderedRequest, Settle>();
  #classes: ReadonlyMap<string, readonly ServiceClass[]> = new Map();
  /** Monotonic time of the first configuration, before which the node has no requests. */
  #servingSince: number | undefined;
  #isReviewing = false;

  constructor(options: RequestGatesOptions) {
    this.#options = options;
  }

  /** Gate of a service. */
  of(service: string): ServiceGate {
    const known = this.#gates.get(service);
    if (known) return known;
    const { clock, random, pool, peers } = this.#options;
    const shares = new TeamShares();
    const order = new RequestOrder({
      clock,
      prefillMsPerToken: () => pool.prefillRate(service).msPerToken,
      isOverShare: (team) => shares.isOverShare(team),
    });
    const gate = new AdmissionGate({
      clock,
      random,
      order,
      unheardFactor: () => Math.max(1, peers.knownCount / peers.reachableCount),
      peers: () => ({ count: peers.reachableCount - 1, periodMs: peers.timing.periodMs }),
      isUninformed: () => this.#isUninformed(),
    });
    gate.configure(this.#classes.get(service) ?? []);
    const created: ServiceGate = { order, shares, gate };
    this.#gates.set(service, created);
    return created;
  }

  /** Applies a configuration; services that it does not contain are dropped. */
  apply(configuration: Configuration): void {
    this.#servingSince ??= this.#options.clock.monotonic();
    this.#classes = new Map(
      configuration.services.map(({ name }) => [name, serviceClassesOf(configuration, name)]),
    );
    for (const [name, { gate }] of this.#gates) {
      gate.configure(this.#classes.get(name) ?? []);
      if (!this.#classes.has(name) && gate.size === 0) this.#gates.delete(name);
    }
  }

  /** Settles with the decision about a queued request, or with undefined after its {@link cancel}. */
  wait(request: OrderedRequest): Promise<ReviewedRequest['decision'] | undefined> {
    return new Promise((resolve) => {
      this.#waiting.set(request, resolve);
      if (this.#isReviewing) return;
      this.#isReviewing = true;
      setTimeout(() => {
        this.#review();
      }, REVIEW_PERIOD_MS);
    });
  }

  /** Ends the wait of a request, if it is waiting. */
  cancel(request: OrderedRequest, { gate }: ServiceGate): void {
    if (!this.#waiting.has(request)) return;
    gate.cancel(request);
    this.#settle(request, undefined);
  }

  /** An admitted request is sent before the next review, which then takes it into account. */
  #review(): void {
    const isStopping = this.#options.grace() !== undefined;
    const reviewed = [...this.#gates.values()].flatMap(({ gate }) =>
      isStopping ? gate.refuseAll() : gate.review(),
    );
    for (const { request, decision } of reviewed) this.#settle(request, decision);
    this.#isReviewing = this.#waiting.size > 0;
    if (!this.#isReviewing) return;
    const hasAdmitted = reviewed.some(({ decision }) => decision.kind === 'admit');
    setTimeout(
      () => {
        this.#review();
      },
      hasAdmitted ? 0 : REVIEW_PERIOD_MS,
    );
  }

  #settle(request: OrderedRequest, decision: ReviewedRequest['decision'] | undefined): void {
    const settle = this.#waiting.get(request);
    this.#waiting.delete(request);
    settle?.(decision);
  }

  #isUninformed(): boolean {
    const { clock, peers } = this.#options;
    if (peers.reachableCount > 1 || this.#servingSince === undefined) return false;
    return clock.monotonic() - this.#servingSince < peers.timing.periodMs;
  }
}
