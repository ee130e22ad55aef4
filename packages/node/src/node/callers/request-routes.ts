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

const STREAM_START: EventPosition = { epoch: 0, number: 0 };
const HTTP_OK = 200;
const MAX_KEY_LENGTH = 255;

/** Routes for tenants: submit, resume and cancel requests, issue and look up idempotency keys. */
@injectable()
export class RequestRoutes {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #authentication: Authentication;
  readonly #requestHandler: RequestHandler;
  readonly #locator: RequestLocator;
  #openStreams = 0;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(Authentication) authentication: Authentication,
    @inject(RequestHandler) requestHandler: RequestHandler,
    @inject(RequestLocator) locator: RequestLocator,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#authentication = authentication;
    this.#requestHandler = requestHandler;
    this.#locator = locator;
  }

  /** Number of responses that are being written. */
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
    const key = idempotencyKeyOf(request);
    const { deadlineMs, maxDeadlineMs } = this.#settings.requests;
    const submission = await this.#requestHandler.submit({
      tenant,
      service: pathParam(request, 'service'),
      class: body.class,
      deadline: this.#clock.wall() + Math.min(body.deadlineMs ?? deadlineMs, maxDeadlineMs),
      input: inputOf(body),
      ...(key === undefined ? {} : { key }),
    });
    await this.#sendResponse(request, response, (signal) =>
      this.#eventsOf(submission, tenant, signal),
    );
  }

  async #resume(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    const lastEventId = request.headers['last-event-id'];
    const after = typeof lastEventId === 'string' ? parseEventId(lastEventId) : STREAM_START;
    const id = pathParam(request, 'id');
    await this.#sendResponse(request, response, (signal) =>
      this.#locator.events({ id, tenant, after, signal }),
    );
  }

  #cancel(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    sendJson(response, HTTP_OK, {
      cancelled: this.#requestHandler.cancel(tenant, pathParam(request, 'id')),
    });
    return Promise.resolve();
  }

  #issueKey(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    sendJson(response, HTTP_OK, { key: this.#requestHandler.issueKey(tenant) });
    return Promise.resolve();
  }

  async #showKey(request: Request, response: Response): Promise<void> {
    const tenant = this.#authentication.tenant(request);
    const key = pathParam(request, 'key');
    const { requestId, ...outcome } = await this.#requestHandler.findKey(tenant, key);
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
    if (submission.kind === 'answer') return replay(submission.events);
    return this.#locator.events({ id: submission.id, tenant, after: STREAM_START, signal });
  }

  async #sendResponse(
    request: Request,
    response: Response,
    open: (signal: AbortSignal) => AsyncIterable<RequestEvent>,
  ): Promise<void> {
    const abort = new AbortController();
    response.once('close', () => {
      abort.abort();
    });
    this.#openStreams += 1;
    try {
      const events = open(abort.signal);
      const acceptsJson = request.headers.accept?.includes('application/json') ?? false;
      if (acceptsJson) await sendJsonAnswer(response, events);
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

function pathParam(request: Request, name: string): string {
  const params = request.params as Readonly<Record<string, unknown>>;
  return String(params[name]);
}

function idempotencyKeyOf(request: Request): string | undefined {
  const key = request.headers['idempotency-key'];
  if (typeof key !== 'string' || key.length === 0) return undefined;
  if (key.length <= MAX_KEY_LENGTH) return key;
  throw new InvalidInput('the header Idempotency-Key is too long', [
    `Idempotency-Key: at most ${MAX_KEY_LENGTH} characters`,
  ]);
}

function inputOf(body: CallerBody): RequestInput {
  if ('prompt' in body) return { kind: 'model', prompt: body.prompt, maxTokens: body.maxTokens };
  return { kind: 'application', operation: body.operation, payload: body.payload };
}

async function* replay(events: readonly RequestEvent[]): AsyncGenerator<RequestEvent> {
  yield* events;
  await Promise.resolve();
}

/** Waits for all events of a request and sends its response as one JSON body. */
async function sendJsonAnswer(
  response: Response,
  events: AsyncIterable<RequestEvent>,
): Promise<void> {
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
