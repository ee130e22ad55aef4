import { inject, injectable } from 'inversify';
import type { Request, Response } from 'restify';
import { InvalidInput } from '@ragwortrudder/core';
import type { Clock } from '@ragwortrudder/core';
import { parseEventId } from '@ragwortrudder/requests';
import type { EventPosition, RequestEvent, RequestInput } from '@ragwortrudder/requests';
import type { Settings } from '@ragwortrudder/settings';
import { CallerBody } from '../../types/caller-body.ts';
import type { Submission } from '../../types/submission.ts';
import { tokens } from '../../types/tokens.ts';
import { ForwardedRefusal } from '../../errors/forwarded-refusal.ts';
import type { HttpServer } from '../http/http-server.ts';
import { readJson } from '../http/read-json.ts';
import { sendJson } from '../http/send-json.ts';
import { RequestHandler } from '../requests/request-handler.ts';
import { RequestLocator } from '../requests/request-locator.ts';
import { Authentication } from './authentication.ts';
import { writeEventStream } from './event-stream.ts';

const START: EventPosition = { epoch: 0, number: 0 };
const HTTP_OK = 200;
const MAX_KEY_LENGTH = 255;

/** Requests of tenants: submit, read on, cancel. */
@injectable()
export class RequestRoutes {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #authentication: Authentication;
  readonly #desk: RequestHandler;
  readonly #locator: RequestLocator;
  #openStreams = 0;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(Authentication) authentication: Authentication,
    @inject(RequestHandler) desk: RequestHandler,
    @inject(RequestLocator) locator: RequestLocator,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#authentication = authentication;
    this.#desk = desk;
    this.#locator = locator;
  }

  /** Answers that are being written. */
  get openStreams(): number {
    return this.#openStreams;
  }

  addTo(server: HttpServer): void {
    server.route('post', '/v1/services/:service/requests', (request, response) =>
      this.#submit(request, response),
    );
    server.route('get', '/v1/requests/:id/events', (request, response) =>
      this.#resume(request, response),
    );
    server.route('del', '/v1/requests/:id', (request, response) => this.#cancel(request, response));
    server.route('post', '/v1/keys', (request, response) => this.#issueKey(request, response));
    server.route('get', '/v1/keys/:key', (request, response) => this.#showKey(request, response));
  }

  async #submit(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    const body = readJson(request, CallerBody);
    const key = keyOf(request);
    const { deadlineMs, maxDeadlineMs } = this.#settings.requests;
    const submission = await this.#desk.submit({
      tenant,
      service: paramOf(request, 'service'),
      class: body.class,
      deadline: this.#clock.wall() + Math.min(body.deadlineMs ?? deadlineMs, maxDeadlineMs),
      input: inputOf(body),
      ...(key === undefined ? {} : { key }),
    });
    await this.#answer(request, response, (signal) => this.#eventsOf(submission, tenant, signal));
  }

  async #resume(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    const lastEventId = request.headers['last-event-id'];
    const after = typeof lastEventId === 'string' ? parseEventId(lastEventId) : START;
    const id = paramOf(request, 'id');
    await this.#answer(request, response, (signal) =>
      this.#locator.events({ id, tenant, after, signal }),
    );
  }

  #cancel(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    sendJson(response, HTTP_OK, { cancelled: this.#desk.cancel(tenant, paramOf(request, 'id')) });
    return Promise.resolve();
  }

  #issueKey(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    sendJson(response, HTTP_OK, { key: this.#desk.issueKey(tenant) });
    return Promise.resolve();
  }

  async #showKey(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    const key = paramOf(request, 'key');
    const { requestId, ...outcome } = await this.#desk.findKey(tenant, key);
    sendJson(response, HTTP_OK, {
      key,
      ...outcome,
      ...(requestId === undefined ? {} : { requestId }),
    });
  }

  #eventsOf(
    submission: Submission,
    tenant: string,
    signal: AbortSignal,
  ): AsyncIterable<RequestEvent> {
    if (submission.kind === 'answer') return inOrder(submission.events);
    return this.#locator.events({ id: submission.id, tenant, after: START, signal });
  }

  async #answer(
    request: Request,
    response: Response,
    open: (signal: AbortSignal) => AsyncIterable<RequestEvent>,
  ): Promise<void> {
    const closing = new AbortController();
    response.once('close', () => {
      closing.abort();
    });
    this.#openStreams += 1;
    try {
      const events = open(closing.signal);
      const wantsJson = request.headers.accept?.includes('application/json') ?? false;
      if (wantsJson) await sendWhole(response, events);
      else
        await writeEventStream({
          response,
          events,
          heartbeatMs: this.#settings.requests.heartbeatMs,
        });
    } finally {
      this.#openStreams -= 1;
    }
  }
}

function paramOf(request: Request, name: string): string {
  const params = request.params as Readonly<Record<string, unknown>>;
  return String(params[name]);
}

function keyOf(request: Request): string | undefined {
  const key = request.headers['idempotency-key'];
  if (typeof key !== 'string' || key.length === 0) return undefined;
  if (key.length <= MAX_KEY_LENGTH) return key;
  throw new InvalidInput('the idempotency key is too long', [
    `Idempotency-Key: at most ${MAX_KEY_LENGTH} characters`,
  ]);
}

function inputOf(body: CallerBody): RequestInput {
  if ('prompt' in body) return { kind: 'model', prompt: body.prompt, maxTokens: body.maxTokens };
  return { kind: 'application', operation: body.operation, payload: body.payload };
}

async function* inOrder(events: readonly RequestEvent[]): AsyncGenerator<RequestEvent> {
  yield* events;
  await Promise.resolve();
}

/** Waits for the whole answer and sends it as one JSON body. */
async function sendWhole(response: Response, events: AsyncIterable<RequestEvent>): Promise<void> {
  let id: string | undefined;
  let result: unknown;
  const texts: string[] = [];
  for await (const { body } of events) {
    if (body.type === 'accepted') id = body.id;
    if (body.type === 'token') texts.push(body.text);
    if (body.type === 'result') result = body.result;
    if (body.type === 'failed') {
      const { title: message, ...outcome } = body.outcome;
      throw new ForwardedRefusal({
        ...outcome,
        message,
        hint: id === undefined ? '' : `request ${id}`,
        status: statusOf(body.outcome.code),
      });
    }
  }
  sendJson(response, HTTP_OK, { id, ...(texts.length > 0 ? { tokens: texts } : { result }) });
}

const HTTP_BAD_GATEWAY = 502;
const HTTP_GATEWAY_TIMEOUT = 504;

function statusOf(code: string): number {
  return code === 'deadline-passed' ? HTTP_GATEWAY_TIMEOUT : HTTP_BAD_GATEWAY;
}
