import { Chart, node as nodeChart } from '@ragwortrudder/charts';
import { inject, injectable } from 'inversify';
import { TicketBoard } from '../configuration/ticket-board.ts';
import { StateLog } from '../metrics/state-log.ts';

/** Life of this node: starting, ready, leaving, closed. */
@injectable()
export class NodeLife {
  readonly #tickets: TicketBoard;
  readonly #log: StateLog;
  readonly #chart = new Chart(nodeChart);

  constructor(@inject(TicketBoard) tickets: TicketBoard, @inject(StateLog) log: StateLog) {
    this.#tickets = tickets;
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
    if (this.#tickets.ready && this.#chart.can('CATCH_UP')) this.#go('CATCH_UP');
  }

  #go(event: string): void {
    const state = this.#chart.send(event);
    this.#log.record({ kind: 'node', subject: 'self', state });
  }
}
