import { setTimeout as sleep } from 'node:timers/promises';
import { CallerClient } from '@ragwortrudder/client';
import { SeededRandom } from '@ragwortrudder/core';
import type { Closeable } from '@ragwortrudder/core';
import { orderHistory } from '@ragwortrudder/history';
import type { History, HistoryEvent, HistoryRecord } from '@ragwortrudder/history';
import { Fleet } from '@ragwortrudder/standins';
import type { FleetOptions } from '@ragwortrudder/standins';
import type { CallerRequest } from '../types/caller-request.ts';
import { RecordedCaller } from './recorded-caller.ts';
import { RunRecorder } from './run-recorder.ts';

const PROCESS = 'stage';
const MODEL_SERVICES: readonly string[] = ['quotes'];
const ONCE_ONLY_SERVICES: readonly string[] = ['orders'];
const MAX_CONCURRENT = 1000;
const DIRECTORY_LAG_MS = 2500;

interface ProofEnvironmentOptions {
  readonly fleet: FleetOptions;
  readonly seed: number;
}

/** A deployment on which a proof runs, with the history of its events. */
export class ProofEnvironment implements Closeable {
  readonly fleet: Fleet;
  readonly random: SeededRandom;
  readonly #events: HistoryEvent[] = [];
  readonly #words: Record<string, number> = {};
  readonly #runRecorder: RunRecorder;
  #ticket = 0;
  #callers = 0;

  constructor({ fleet, seed }: ProofEnvironmentOptions) {
    this.fleet = new Fleet({ seed, ...fleet });
    this.random = new SeededRandom(seed);
    this.#runRecorder = new RunRecorder({
      fleet: this.fleet,
      record: (event, at) => {
        this.record(event, at);
      },
      tenantOf: (key) => this.#tenantOf(key),
    });
  }

  /** Number of requests sent. */
  get operations(): number {
    return this.#callers;
  }

  /**
   * Updates the newest ticket from one that a node reported as accepted, even if its submission was not
   * answered.
   */
  observeTicket(number: number): void {
    this.#ticket = Math.max(this.#ticket, number);
  }

  /** Number of requests by final outcome. */
  get words(): Readonly<Record<string, number>> {
    return this.#words;
  }

  /** Number of the newest ticket that was accepted. */
  get newestTicket(): number {
    return this.#ticket;
  }

  /** Number of faults injected. */
  get faults(): number {
    return this.#events.filter((event) => event.type === 'fault' && event.phase !== 'end').length;
  }

  /** Events recorded so far, in order. */
  get history(): History {
    return orderHistory(this.#events);
  }

  /** Starts the deployment and submits its first ticket. */
  async start(): Promise<void> {
    await this.fleet.start();
    for (const { name, failureDomain } of this.fleet.entries) {
      this.record({ type: 'start', target: name, role: 'node', failureDomain });
    }
    const services = [...new Set(this.fleet.runners.map(({ service }) => service))];
    const submitted = await this.submitTicket({
      services: Object.fromEntries(services.map((name) => [name, this.service(name)])),
      tenants: Object.fromEntries(
        this.fleet.layout.tenants.map(({ tenant }) => [
          tenant,
          { weight: 1, maxConcurrent: MAX_CONCURRENT, maxQueued: MAX_CONCURRENT },
        ]),
      ),
    });
    if (submitted !== 'accepted') process.stderr.write(`first ticket: ${submitted}\n`);
    this.#runRecorder.start();
    await sleep(DIRECTORY_LAG_MS);
  }

  /** Returns the configuration of a service for use in a ticket. */
  service(name: string, version = 'v1', changes: Readonly<Record<string, unknown>> = {}): unknown {
    return {
      kind: MODEL_SERVICES.includes(name) ? 'model' : 'application',
      version,
      fencing: true,
      idempotent: !ONCE_ONLY_SERVICES.includes(name),
      classes: ['interactive', 'batch'],
      ...changes,
    };
  }

  /**
   * Submits the next ticket, based on the newest accepted one, to the node `name`, or to the first node
   * if omitted. Resolves with its status.
   */
  async submitTicket(content: Readonly<Record<string, unknown>>, name?: string): Promise<string> {
    const number = this.#ticket + 1;
    return this.submitNumbered({ number, against: this.#ticket, ...content }, name);
  }

  /** Submits a ticket that has a number. Resolves with its status. */
  async submitNumbered(
    ticket: Readonly<Record<string, unknown>> & { readonly number: number },
    name?: string,
  ): Promise<string> {
    this.record({ type: 'ticket', number: ticket.number, state: 'submitted', scope: 'services' });
    const { status } = await this.fleet.submitTicket(ticket, name);
    const state = status === 201 ? 'accepted' : status === 409 ? 'refused' : 'unanswered';
    if (state === 'unanswered') return state;
    if (state === 'accepted') this.#ticket = Math.max(this.#ticket, ticket.number);
    this.record({ type: 'ticket', number: ticket.number, state, scope: 'services' });
    return state;
  }

  /** Sends one request and resolves with its final outcome. */
  async call(request: CallerRequest): Promise<string> {
    this.#callers += 1;
    const requestedNodes = this.fleet.entries.filter(
      ({ name }) => request.nodes?.includes(name) ?? true,
    );
    const caller = new RecordedCaller({
      name: `caller-${this.#callers}`,
      request,
      nodes: new Map(requestedNodes.map(({ address, name }) => [address, name])),
      key: this.fleet.layout.tenants.find(({ tenant }) => tenant === request.tenant)?.key ?? '',
      random: this.random,
      record: (event) => {
        this.record(event);
      },
    });
    const word = await caller.run();
    this.#words[word] = (this.#words[word] ?? 0) + 1;
    return word;
  }

  /** Requests an idempotency key from any node; resolves with undefined if no node issues one. */
  async issueKey(tenant: string): Promise<string | undefined> {
    const nodes = this.fleet.entries.map(({ address }) => address);
    const key = this.fleet.layout.tenants.find((one) => one.tenant === tenant)?.key ?? '';
    const client = new CallerClient({ nodes, key, random: this.random });
    return client.issueKey().catch(() => undefined);
  }

  /** Records the injection of a fault, or the start or end of a lasting one. */
  fault(fault: string, target: string, phase: 'once' | 'start' | 'end' = 'once'): void {
    this.record({ type: 'fault', fault, target, phase });
  }

  /** Records an event now, or at the given wall-clock time. */
  record(event: HistoryRecord, at = Date.now()): void {
    this.#events.push({ ...event, process: PROCESS, seq: this.#events.length, at });
  }

  /** Pauses for `ms` milliseconds. */
  async pause(ms: number): Promise<void> {
    await sleep(ms);
  }

  /** Returns one of `items`, drawn from the environment's random source. */
  pick<T>(items: readonly [T, ...T[]]): T {
    return items[Math.floor(this.random.next() * items.length)] ?? items[0];
  }

  /** Records the runs that have not been read from the runners yet. */
  async recordRemainingRuns(): Promise<void> {
    await this.#runRecorder.read();
  }

  async close(): Promise<void> {
    await this.#runRecorder.close();
    await this.fleet.close();
  }

  #tenantOf(key: string): string {
    const found = this.#events.find((event) => event.type === 'invocation' && event.key === key);
    return found?.type === 'invocation' ? found.tenant : '';
  }
}
