import { NodeStatus } from '../types/node-status.ts';
import { TicketList } from '../types/ticket-list.ts';
import { TicketReport } from '../types/ticket-report.ts';
import { NodeHttpClient } from './node-http-client.ts';

const SUBMIT_TIMEOUT_MS = 30_000;

interface OperatorClientOptions {
  /** Addresses of nodes, `host:port`; tried in round-robin order. */
  readonly nodes: readonly string[];
  /** API key of the operator. */
  readonly key: string;
}

/** Client for operators; any of the given nodes can serve a call. */
export class OperatorClient {
  readonly #http: NodeHttpClient;

  constructor(options: OperatorClientOptions) {
    this.#http = new NodeHttpClient(options);
  }

  /**
   * Publishes a ticket and returns its status; submitting it again has no further effect.
   * @throws `RequestRefused` if the ticket is malformed or conflicts with an accepted one.
   */
  async submitTicket(ticket: unknown): Promise<TicketReport> {
    const path = '/v1/tickets';
    const timeoutMs = SUBMIT_TIMEOUT_MS;
    return TicketReport.parse(
      await this.#http.call({ method: 'POST', path, body: ticket, timeoutMs }),
    );
  }

  /** Returns the status of ticket `number`, as one node reports it. */
  async showTicket(number: number): Promise<TicketReport> {
    return TicketReport.parse(
      await this.#http.call({ method: 'GET', path: `/v1/tickets/${number}` }),
    );
  }

  /** Returns the statuses of the newest tickets. */
  async listTickets(): Promise<TicketList> {
    return TicketList.parse(await this.#http.call({ method: 'GET', path: '/v1/tickets' }));
  }

  /** Returns the status of one node. */
  async status(): Promise<NodeStatus> {
    return NodeStatus.parse(await this.#http.call({ method: 'GET', path: '/v1/status' }));
  }
}
