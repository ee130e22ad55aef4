import { inject, injectable } from 'inversify';
import type { Clock, Random } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import type { DeadlinePassed } from '../../errors/deadline-passed.ts';
import type { Assignment } from '../../types/assignment.ts';
import { tokens } from '../../types/tokens.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { ServiceGate } from '../admission/service-gate.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { Metrics } from '../metrics/metrics.ts';
import { runInBackground } from '../metrics/run-in-background.ts';
import { ApplicationRuns } from '../runners/application-runs.ts';
import { Dispatcher } from '../runners/dispatcher.ts';
import { ModelRuns } from '../runners/model-runs.ts';
import { RunnerPool } from '../runners/runner-pool.ts';
import { KeyedRequests } from './keyed-requests.ts';
import type { OwnedRequest } from './owned-request.ts';

/** Admission gates, one for each service, and the dispatch of the requests that they admit. */
@injectable()
export class ServiceGates {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #tickets: TicketStore;
  readonly #dispatcher: Dispatcher;
  readonly #modelRuns: ModelRuns;
  readonly #applicationRuns: ApplicationRuns;
  readonly #keyedRequests: KeyedRequests;
  readonly #metrics: Metrics;
  readonly #gates = new Map<string, ServiceGate>();

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(TicketStore) tickets: TicketStore,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(Dispatcher) dispatcher: Dispatcher,
    @inject(ModelRuns) modelRuns: ModelRuns,
    @inject(ApplicationRuns) applicationRuns: ApplicationRuns,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#random = random;
    this.#tickets = tickets;
    this.#dispatcher = dispatcher;
    this.#modelRuns = modelRuns;
    this.#applicationRuns = applicationRuns;
    this.#keyedRequests = keyedRequests;
    this.#metrics = metrics;
    pool.subscribe(() => {
      this.#pumpAll();
    });
    tickets.subscribe(() => {
      this.#dropIdleGates();
    });
  }

  /** Number of requests that wait for a runner. */
  get queued(): number {
    return [...this.#gates.values()].reduce((sum, gate) => sum + gate.size, 0);
  }

  /** Gate of `service`. */
  of(service: string): ServiceGate {
    const existing = this.#gates.get(service);
    if (existing) return existing;
    const gate = this.#create();
    this.#gates.set(service, gate);
    return gate;
  }

  /**
   * Expires requests whose deadline can no longer be met, starts those for which a runner has
   * capacity, and checks the progress of model streams.
   */
  check(): void {
    for (const gate of this.#gates.values()) {
      gate.expire();
      gate.dispatch();
    }
    this.#modelRuns.check();
  }

  #pumpAll(): void {
    for (const gate of this.#gates.values()) gate.dispatch();
  }

  #create(): ServiceGate {
    const { maxQueued, tenantQueued, interactiveWeight } = this.#settings.admission;
    return new ServiceGate({
      clock: this.#clock,
      random: this.#random,
      metrics: this.#metrics,
      maxQueued,
      maxTenantShare: Math.min(1, tenantQueued / maxQueued),
      interactiveWeight,
      tenantWeights: this.#tenantWeights(),
      start: (owned) => this.#start(owned),
      onExpired: (owned, failure) => {
        this.#expire(owned, failure);
      },
    });
  }

  /**
   * Drops idle gates after a configuration change, so that they are created again with the current
   * tenant weights: a gate reads the weights only at its creation.
   */
  #dropIdleGates(): void {
    for (const [service, gate] of this.#gates) if (gate.size === 0) this.#gates.delete(service);
  }

  #tenantWeights(): ReadonlyMap<string, number> {
    const { tenants } = this.#tickets.state;
    return new Map(Object.entries(tenants).map(([name, { share }]) => [name, share?.weight ?? 1]));
  }

  #start(owned: OwnedRequest): boolean {
    const assignment = this.#dispatcher.assign(owned);
    if (!assignment) return false;
    const promise = this.#run(owned, assignment);
    runInBackground({ task: 'run', metrics: this.#metrics, promise });
    return true;
  }

  async #run(owned: OwnedRequest, assignment: Assignment): Promise<void> {
    const isModel = owned.request.input.kind === 'model';
    const runs = isModel ? this.#modelRuns : this.#applicationRuns;
    const startedAt = this.#clock.monotonic();
    try {
      const mustContinue = await runs.run(owned, assignment);
      this.#recordServiceTime(owned, startedAt);
      if (mustContinue) this.of(owned.request.service).resume(owned);
      else this.of(owned.request.service).dispatch();
    } catch (error) {
      this.#metrics.count('run_faults');
      owned.fail({
        code: 'internal-fault',
        title: String(error),
        retryable: owned.request.idempotent,
        notRun: false,
      });
    }
  }

  #recordServiceTime(owned: OwnedRequest, startedAt: number): void {
    const isComplete = owned.events.events.at(-1)?.body.type === 'done';
    if (!isComplete || owned.attempts.started > 1) return;
    this.of(owned.request.service).recordServiceTime(owned, this.#clock.monotonic() - startedAt);
  }

  #expire(owned: OwnedRequest, failure: DeadlinePassed): void {
    const notRun = owned.attempts.started === 0;
    if (notRun) {
      const promise = this.#keyedRequests.finish(owned, 'not-run');
      runInBackground({ task: 'outcome', metrics: this.#metrics, promise });
    }
    owned.fail({ ...toOutcome(failure), notRun });
  }
}
