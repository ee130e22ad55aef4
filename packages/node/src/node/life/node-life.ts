import { Chart, node as nodeChart } from '@ragwortrudder/charts';
import { inject, injectable } from 'inversify';
import type { Clock } from '@ragwortrudder/core';
import { tokens } from '../../types/tokens.ts';
import { TicketBoard } from '../configuration/ticket-board.ts';
import { StateLog } from '../metrics/state-log.ts';
import { PeerDirectory } from '../peers/peer-directory.ts';

/** Time after which a node that meets no peer takes requests all the same. */
const JOIN_PATIENCE_MS = 5000;

/** Life of this node: starting, ready, leaving, closed. */
@injectable()
export class NodeLife {
  readonly #tickets: TicketBoard;
  readonly #peers: PeerDirectory;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #log: StateLog;
  readonly #chart = new Chart(nodeChart);

  constructor(
    @inject(tokens.clock) clock: Clock,
    @inject(TicketBoard) tickets: TicketBoard,
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

  /** State of the chart `node`. */
  get state(): string {
    this.#update();
    return this.#chart.state;
  }

  /** True while the node takes new requests. */
  get ready(): boolean {
    return this.state === 'ready';
  }

  /** True until the node knows the configuration; nothing can be looked up before. */
  get starting(): boolean {
    return this.state === 'starting';
  }

  /** True once the node is to stop. */
  get leaving(): boolean {
    return this.#chart.state === 'leaving' || this.#chart.state === 'closed';
  }

  /** Stops taking new requests. */
  leave(): void {
    if (this.#chart.can('LEAVE')) this.#go('LEAVE');
  }

  /** Ends the node's life, with all its requests finished or handed over, or not. */
  end(options: { readonly handedOver: boolean }): void {
    const event = options.handedOver ? 'HANDED_OVER' : 'TIME_OUT';
    if (this.#chart.can(event)) this.#go(event);
  }

  #update(): void {
    if (!this.#chart.can('CATCH_UP')) return;
    if (this.#tickets.ready && this.#hasJoined()) this.#go('CATCH_UP');
  }

  /** A node without peers would hold its requests alone, so it waits a while for the first one. */
  #hasJoined(): boolean {
    const waitedMs = this.#clock.monotonic() - this.#startedAt;
    return this.#peers.reachable.length > 0 || waitedMs > JOIN_PATIENCE_MS;
  }

  #go(event: string): void {
    const state = this.#chart.send(event);
    this.#log.record({ kind: 'node', subject: 'self', state });
  }
}
