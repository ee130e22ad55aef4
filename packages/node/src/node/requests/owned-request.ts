import { Chart, request as requestChart } from '@ragwortrudder/charts';
import type { Clock, Incarnation } from '@ragwortrudder/core';
import { isFinal } from '@ragwortrudder/requests';
import type { AcceptedRequest, EventBody, EventLog, Outcome } from '@ragwortrudder/requests';
import type { Metrics } from '../metrics/metrics.ts';
import { AttemptHistory } from './attempt-history.ts';
import type { Replication } from './replication.ts';

interface OwnedRequestOptions {
  readonly request: AcceptedRequest;
  readonly incarnation: Incarnation;
  readonly events: EventLog;
  readonly replication: Replication;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** A request that this node must finish or hand over to another node. */
export class OwnedRequest {
  readonly request: AcceptedRequest;
  /** Incarnation of this node that owns the request. */
  readonly incarnation: Incarnation;
  readonly events: EventLog;
  readonly replication: Replication;
  /** Attempts to run the request on this node. */
  readonly attempts = new AttemptHistory();
  readonly #metrics: Metrics;
  readonly #clock: Clock;
  readonly #chart = new Chart(requestChart);
  readonly #endController = new AbortController();
  readonly #startedAt: number;
  #tokenCount = 0;
  /** Number of events that `#tokenCount` covers. */
  #countedEvents = 0;
  #lastTokenAt: number | undefined;
  #newOwner: string | undefined;
  #endedAt: number | undefined;

  constructor(options: OwnedRequestOptions) {
    this.request = options.request;
    this.incarnation = options.incarnation;
    this.events = options.events;
    this.replication = options.replication;
    this.#metrics = options.metrics;
    this.#clock = options.clock;
    this.#startedAt = options.clock.monotonic();
    this.#chart.send('ACCEPT');
  }

  /** State of the `request` state machine. */
  get state(): string {
    return this.#chart.state;
  }

  /** Aborts when the request ends, is cancelled or is transferred to another node. */
  get signal(): AbortSignal {
    return this.#endController.signal;
  }

  /** True once the request has reached a final state on this node. */
  get ended(): boolean {
    return this.#chart.final;
  }

  /** Monotonic time in milliseconds at which the request ended on this node. */
  get endedAt(): number | undefined {
    return this.#endedAt;
  }

  /** Node that owns the request now, if it was transferred. */
  get newOwner(): string | undefined {
    return this.#newOwner;
  }

  /** Number of tokens generated so far. */
  get tokenCount(): number {
    const { events } = this.events;
    for (const { body } of events.slice(this.#countedEvents))
      if (body.type === 'token') this.#tokenCount += 1;
    this.#countedEvents = events.length;
    return this.#tokenCount;
  }

  /** Time left until the deadline in milliseconds. */
  get remainingMs(): number {
    return this.request.deadline - this.#clock.wall();
  }

  /** Takes the state transition for `event`, if the current state has one. */
  advance(event: 'QUEUE' | 'DISPATCH' | 'RETRY'): void {
    if (this.#chart.can(event)) this.#chart.send(event);
  }

  /**
   * Adds an event to the answer; it becomes visible to callers once it is replicated, or at once if
   * no peer can hold a replica.
   */
  emit(body: EventBody): void {
    if (this.ended || isFinal(this.events.events.at(-1))) return;
    this.events.add(body);
    if (body.type === 'token') this.#recordTokenLatency();
    this.replication.flush().catch(() => undefined);
  }

  /** Ends the request with a complete answer. */
  complete(tokens: number): void {
    if (this.ended) return;
    this.emit({ type: 'done', tokens });
    this.#end('COMPLETE');
    this.#metrics.observe('total', this.request, this.#clock.monotonic() - this.#startedAt);
  }

  /** Ends the request without a complete answer. */
  fail(outcome: Outcome, event: 'FAIL' | 'CANCEL' | 'LOSE' = 'FAIL'): void {
    if (this.ended) return;
    this.emit({ type: 'failed', outcome });
    this.#metrics.count('requests_failed', { code: outcome.code });
    this.#end(event);
  }

  /** Records that node `nodeId` owns the request from now on. */
  transfer(nodeId: string): void {
    if (this.events.finished) return;
    this.#newOwner = nodeId;
    if (!this.ended) this.#end('TRANSFER');
    this.events.notifyListeners();
  }

  #end(event: string): void {
    if (this.#chart.can(event)) this.#chart.send(event);
    else this.#chart.send('FAIL');
    this.#endedAt = this.#clock.monotonic();
    this.#endController.abort();
  }

  #recordTokenLatency(): void {
    const now = this.#clock.monotonic();
    const lastTokenAt = this.#lastTokenAt;
    if (lastTokenAt === undefined)
      this.#metrics.observe('first_token', this.request, now - this.#startedAt);
    else this.#metrics.observe('between_tokens', this.request, now - lastTokenAt);
    this.#lastTokenAt = now;
  }
}
