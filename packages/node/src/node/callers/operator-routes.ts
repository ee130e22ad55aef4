import { inject, injectable } from 'inversify';
import type { Request, Response } from 'restify';
import { listTickets, parseTicket } from '@ragwortrudder/tickets';
import { BodyMalformed } from '../../errors/body-malformed.ts';
import { PathUnknown } from '../../errors/path-unknown.ts';
import { TicketNotRecorded } from '../../errors/ticket-not-recorded.ts';
import { TicketRefused } from '../../errors/ticket-refused.ts';
import { TicketStore } from '../configuration/ticket-store.ts';
import type { HttpServer } from '../http/http-server.ts';
import { sendJson } from '../http/send-json.ts';
import { NodeLifecycle } from '../lifecycle/node-lifecycle.ts';
import { NodeStatus } from '../lifecycle/node-status.ts';
import { Metrics } from '../metrics/metrics.ts';
import { Authentication } from './authentication.ts';

const HTTP_OK = 200;
const HTTP_CREATED = 201;
const HTTP_UNAVAILABLE = 503;
const MAX_LISTED_TICKETS = 200;

/**
 * Routes for operators (tickets, status and metrics) and the readiness check of the platform's load
 * balancer.
 */
@injectable()
export class OperatorRoutes {
  readonly #authentication: Authentication;
  readonly #tickets: TicketStore;
  readonly #lifecycle: NodeLifecycle;
  readonly #status: NodeStatus;
  readonly #metrics: Metrics;

  constructor(
    @inject(Authentication) authentication: Authentication,
    @inject(TicketStore) tickets: TicketStore,
    @inject(NodeLifecycle) lifecycle: NodeLifecycle,
    @inject(NodeStatus) status: NodeStatus,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#authentication = authentication;
    this.#tickets = tickets;
    this.#lifecycle = lifecycle;
    this.#status = status;
    this.#metrics = metrics;
  }

  addTo(server: HttpServer): void {
    server.route('get', '/ready', (_request, response) => {
      sendJson(response, this.#lifecycle.ready ? HTTP_OK : HTTP_UNAVAILABLE, {
        state: this.#lifecycle.state,
      });
      return Promise.resolve();
    });
    server.route('post', '/v1/tickets', (request, response) => this.#submit(request, response));
    server.route('get', '/v1/tickets', (request, response) => this.#list(request, response));
    server.route('get', '/v1/tickets/:number', (request, response) =>
      this.#show(request, response),
    );
    server.route('get', '/v1/status', (request, response) => this.#showStatus(request, response));
    server.route('get', '/metrics', (request, response) => this.#showMetrics(request, response));
  }

  async #submit(request: Request, response: Response): Promise<void> {
    const author = this.#authentication.operator(request);
    const ticket = parseTicket(withAuthor(parseBody(request), author));
    const status = await this.#tickets.submit(ticket).catch((error: unknown) => {
      throw new TicketNotRecorded(error);
    });
    if (status.refusal) throw new TicketRefused(ticket.number, status.refusal);
    sendJson(response, HTTP_CREATED, status);
  }

  #list(request: Request, response: Response): Promise<void> {
    this.#authentication.operator(request);
    const records = listTickets(this.#tickets.state).slice(0, MAX_LISTED_TICKETS);
    const tickets = records.map(({ number, author, at }) => ({
      author,
      at,
      ...this.#tickets.status(number),
    }));
    sendJson(response, HTTP_OK, { tickets });
    return Promise.resolve();
  }

  #show(request: Request, response: Response): Promise<void> {
    this.#authentication.operator(request);
    const params = request.params as Readonly<Record<string, unknown>>;
    const number = Number(params.number);
    if (!Number.isSafeInteger(number)) throw new PathUnknown(request.path());
    sendJson(response, HTTP_OK, this.#tickets.status(number));
    return Promise.resolve();
  }

  async #showStatus(request: Request, response: Response): Promise<void> {
    this.#authentication.operator(request);
    sendJson(response, HTTP_OK, await this.#status.read());
  }

  async #showMetrics(request: Request, response: Response): Promise<void> {
    this.#authentication.operator(request);
    const text = await this.#metrics.text();
    response.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(text);
  }
}

function parseBody(request: Request): unknown {
  try {
    return JSON.parse(String(request.body));
  } catch {
    throw new BodyMalformed();
  }
}

/** Sets the author of a ticket to the operator whose key authenticated the call. */
function withAuthor(body: unknown, author: string): unknown {
  return typeof body === 'object' && body !== null && !Array.isArray(body)
    ? { ...body, author }
    : body;
}
