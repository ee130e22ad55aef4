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
import { RunWatch } from './run-watch.ts';

const PROCESS = 'stage';
const MODEL_SERVICES: readonly string[] = ['quotes'];
const ONCE_ONLY_SERVICES: readonly string[] = ['orders'];
const MAX_CONCURRENT = 1000;
const DIRECTORY_LAG_MS = 2500;

interface StageOptions {
  readonly fleet: FleetOptions;
  readonly seed: number;
}

/** A deployment with the history of what happens on it. */
export class Stage implements Closeable {
  readonly fleet: Fleet;
  readonly random: SeededRandom;
  readonly #events: HistoryEvent[] = [];
  readonly #words: Record<string, number> = {};
  readonly #runWatch: RunWatch;
  #ticket = 0;
  #callers = 0;

  constructor({ fleet, seed }: StageOptions) {
    this.fleet = new Fleet({ seed, ...fleet });
    this.random = new SeededRandom(seed);
    this.#runWatch = new RunWatch({
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

  /** Notes a ticket that a node showed as accepted, also when its submission was not answered. */
  noteTicket(number: number): void {
    this.#ticket = Math.max(this.#ticket, number);
  }

  /** Final words received, by kind. */
  get words(): Readonly<Record<string, number>> {
    return this.#words;
  }

  /** Number of the newest ticket that was accepted. */
  get newestTicket(): number {
    return this.#ticket;
  }

  /** Number of faults brought about. */
  get faults(): number {
    return this.#events.filter((event) => event.type === 'fault' && event.phase !== 'end').length;
  }

  /** Events so far, in order. */
  get history(): History {
    return orderHistory(this.#events);
  }

  /** Starts the deployment and publishes its first ticket. */
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
    this.#runWatch.start();
    await sleep(DIRECTORY_LAG_MS);
  }

  /** Content of a service for a ticket. */
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

  /** Submits the next ticket, against the last one, at the node `name`; resolves with its status. */
  async submitTicket(content: Readonly<Record<string, unknown>>, name?: string): Promise<string> {
    const number = this.#ticket + 1;
    return this.submitNumbered({ number, against: this.#ticket, ...content }, name);
  }

  /** Submits a ticket with its number given. */
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

  /** Sends one request and resolves with its final word. */
  async call(request: CallerRequest): Promise<string> {
    this.#callers += 1;
    const wanted = this.fleet.entries.filter(({ name }) => request.nodes?.includes(name) ?? true);
    const caller = new RecordedCaller({
      name: `caller-${this.#callers}`,
      request,
      nodes: new Map(wanted.map(({ address, name }) => [address, name])),
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

  /** Asks any node for a key; undefined when none issues one. */
  async issueKey(tenant: string): Promise<string | undefined> {
    const nodes = this.fleet.entries.map(({ address }) => address);
    const key = this.fleet.layout.tenants.find((one) => one.tenant === tenant)?.key ?? '';
    const client = new CallerClient({ nodes, key, random: this.random });
    return client.issueKey().catch(() => undefined);
  }

  /** Records a fault. */
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

  /** One of `items`, drawn from the stage's random source. */
  pick<T>(items: readonly [T, ...T[]]): T {
    return items[Math.floor(this.random.next() * items.length)] ?? items[0];
  }

  /** Reads the runs that were not read yet. */
  async settle(): Promise<void> {
    await this.#runWatch.read();
  }

  async close(): Promise<void> {
    await this.#runWatch.close();
    await this.fleet.close();
  }

  #tenantOf(key: string): string {
    const found = this.#events.find((event) => event.type === 'invocation' && event.key === key);
    return found?.type === 'invocation' ? found.tenant : '';
  }
}
