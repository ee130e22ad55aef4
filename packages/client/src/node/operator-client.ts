import { NodeStatus } from '../types/node-status.ts';
import { TicketList } from '../types/ticket-list.ts';
import { TicketReport } from '../types/ticket-report.ts';
import { NodeCalls } from './node-calls.ts';

const SUBMIT_TIMEOUT_MS = 30_000;

interface OperatorClientOptions {
  /** Addresses of nodes, `host:port`; they are tried in turn. */
  readonly nodes: readonly string[];
  /** Key of the operator. */
  readonly key: string;
}

/** An operator's calls to any of several nodes. */
export class OperatorClient {
  readonly #calls: NodeCalls;

  constructor(options: OperatorClientOptions) {
    this.#calls = new NodeCalls(options);
  }

  /**
   * Publishes a ticket and returns its status; sending it again has no further effect.
   * @throws `RequestRefused` when the ticket is malformed or lost to another one.
   */
  async submitTicket(ticket: unknown): Promise<TicketReport> {
    const path = '/v1/tickets';
    const timeoutMs = SUBMIT_TIMEOUT_MS;
    return TicketReport.parse(
      await this.#calls.call({ method: 'POST', path, body: ticket, timeoutMs }),
    );
  }

  /** Status of the ticket `number`, as one node knows it. */
  async showTicket(number: number): Promise<TicketReport> {
    return TicketReport.parse(
      await this.#calls.call({ method: 'GET', path: `/v1/tickets/${number}` }),
    );
  }

  /** Statuses of the newest tickets. */
  async listTickets(): Promise<TicketList> {
    return TicketList.parse(await this.#calls.call({ method: 'GET', path: '/v1/tickets' }));
  }

  /** Status of one node. */
  async status(): Promise<NodeStatus> {
    return NodeStatus.parse(await this.#calls.call({ method: 'GET', path: '/v1/status' }));
  }
}
