import { Chart, node as nodeChart } from '@ragwortrudder/charts';
import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import { tokens } from '../../types/tokens.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';

/** Time after which a node that reaches no peer accepts requests anyway. */
const JOIN_TIMEOUT_MS = 5000;

/** Lifecycle of this node: starting, ready, leaving, closed. */
@injectable()
export class NodeLifecycle {
  readonly #tickets: TicketStore;
  readonly #peers: PeerDirectory;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #log: StateLog;
  readonly #chart = new Chart(nodeChart);

  constructor(
    @inject(tokens.clock) clock: Clock,
    @inject(TicketStore) tickets: TicketStore,
    @inject(PeerDirectory) peers: PeerDirectory,
    @inject(StateLog) log: StateLog,
  ) {
    this.#clock = clock;
    this.#startedAt = clock.monotonic();
    this.#tickets = tickets;
    this.#peers = peers;
    this.#log = log;
    tickets.subscribe(() => {
      this.#update();
    });
  }

  /** State in the state chart `node`. */
  get state(): string {
    this.#update();
    return this.#chart.state;
  }

  /** True while the node accepts new requests. */
  get ready(): boolean {
    return this.state === 'ready';
  }

  /**
   * True until the node has the configuration and has joined its peers; lookups are not possible
   * before.
   */
  get starting(): boolean {
    return this.state === 'starting';
  }

  /** True once the node has begun to stop. */
  get leaving(): boolean {
    return this.#chart.state === 'leaving' || this.#chart.state === 'closed';
  }

  /** Stops accepting new requests. */
  leave(): void {
    if (this.#chart.can('LEAVE')) this.#transition('LEAVE');
  }

  /**
   * Closes the node. `handedOver` is true when all its requests were finished or handed over in
   * time.
   */
  end(options: { readonly handedOver: boolean }): void {
    const event = options.handedOver ? 'HANDED_OVER' : 'TIME_OUT';
    if (this.#chart.can(event)) this.#transition(event);
  }

  #update(): void {
    if (!this.#chart.can('CATCH_UP')) return;
    if (this.#tickets.ready && this.#hasJoined()) this.#transition('CATCH_UP');
  }

  /**
   * Without peers a node has no replicas of its requests, so it waits for the first peer for a
   * while.
   */
  #hasJoined(): boolean {
    const waitedMs = this.#clock.monotonic() - this.#startedAt;
    return this.#peers.reachable.length > 0 || waitedMs > JOIN_TIMEOUT_MS;
  }

  #transition(event: string): void {
    const state = this.#chart.send(event);
    this.#log.record({ kind: 'node', subject: 'self', state });
  }
}
