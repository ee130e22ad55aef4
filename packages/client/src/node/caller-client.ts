import { setTimeout as sleep } from 'node:timers/promises';
import got from 'got';
import { Failure } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import { RequestRefused } from '../errors/request-refused.ts';
import type { AnswerEvent } from '../types/answer-event.ts';
import type { ClientOptions } from '../types/client-options.ts';
import type { ClientRequest } from '../types/client-request.ts';
import { Problem } from '../types/problem.ts';
import { readEventSource } from './event-source.ts';

const DEFAULT_CONNECT_MS = 1000;
const DEFAULT_SILENCE_MS = 15_000;
const DEFAULT_PATIENCE_MS = 60_000;
const DEFAULT_RETRY_MS = 500;
const CALL_TIMEOUT_MS = 5000;

/** A caller that reconnects to any node and goes on where its answer broke off. */
export class CallerClient {
  readonly #options: ClientOptions;
  #next: number;

  constructor(options: ClientOptions) {
    this.#options = options;
    this.#next = Math.floor(options.random.next() * options.nodes.length);
  }

  /**
   * Submits a request and yields its answer, each event once and in order. A request without a key
   * whose acceptance was not seen is submitted anew, so it must be idempotent.
   * @throws the last failure once it is final or patience has run out.
   */
  async *submit(request: ClientRequest): AsyncGenerator<AnswerEvent> {
    const endsAt = performance.now() + (request.patienceMs ?? DEFAULT_PATIENCE_MS);
    const progress = new Progress();
    while (!progress.isFinished()) {
      const node = this.#nextNode();
      request.observer?.connecting(node, progress.requestId !== undefined);
      try {
        for await (const event of this.#connect(node, request, progress)) {
          if (progress.take(event)) yield event;
        }
        if (!progress.isFinished()) throw new ConnectionLost(node);
      } catch (error) {
        if (error instanceof Failure) request.observer?.failed(node, error);
        await this.#waitToRetry(error, endsAt);
      }
    }
  }

  /** Asks for a key that names its executor. */
  async issueKey(): Promise<string> {
    const { key } = await this.#call<{ readonly key: string }>('POST', '/v1/keys');
    return key;
  }

  /** What became of the request under a key. */
  async showKey(key: string): Promise<Readonly<Record<string, unknown>>> {
    return this.#call('GET', `/v1/keys/${encodeURIComponent(key)}`);
  }

  #connect(
    node: string,
    request: ClientRequest,
    { requestId, lastEventId }: Progress,
  ): AsyncGenerator<AnswerEvent> {
    const common = {
      node,
      connectMs: this.#options.connectMs ?? DEFAULT_CONNECT_MS,
      silenceMs: this.#options.silenceMs ?? DEFAULT_SILENCE_MS,
    };
    const authorization = `Bearer ${this.#options.key}`;
    if (requestId !== undefined) {
      return readEventSource({
        ...common,
        method: 'GET',
        path: `/v1/requests/${requestId}/events`,
        headers: { authorization, 'last-event-id': lastEventId },
      });
    }
    return readEventSource({
      ...common,
      method: 'POST',
      path: `/v1/services/${request.service}/requests`,
      headers: {
        authorization,
        ...(request.idempotencyKey === undefined
          ? {}
          : { 'idempotency-key': request.idempotencyKey }),
      },
      body: JSON.stringify(request.body),
    });
  }

  async #call<T>(method: 'GET' | 'POST', path: string): Promise<T> {
    let last: unknown;
    let left = this.#options.nodes.length;
    while (left > 0) {
      left -= 1;
      try {
        return await this.#callOnce<T>(this.#nextNode(), method, path);
      } catch (error) {
        last = error;
        if (error instanceof RequestRefused && !error.retryable) throw error;
      }
    }
    throw last;
  }

  async #callOnce<T>(node: string, method: 'GET' | 'POST', path: string): Promise<T> {
    const answer = await got(`http://${node}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.#options.key}` },
      ...(method === 'POST' ? { json: {} } : {}),
      timeout: { request: CALL_TIMEOUT_MS },
      retry: { limit: 0 },
      throwHttpErrors: false,
    }).catch((error: unknown) => {
      throw new ConnectionLost(node, error);
    });
    const body: unknown = JSON.parse(answer.body);
    const problem = Problem.safeParse(body);
    if (problem.success && !answer.ok) throw new RequestRefused(problem.data);
    return body as T;
  }

  async #waitToRetry(error: unknown, endsAt: number): Promise<void> {
    const isRetryable = error instanceof Failure && error.retryable;
    const delayMs = (error instanceof Failure ? error.retryAfterMs : undefined) ?? DEFAULT_RETRY_MS;
    const jittered = delayMs * (1 + this.#options.random.next() / 2);
    if (!isRetryable || performance.now() + jittered > endsAt) throw error;
    await sleep(jittered);
  }

  #nextNode(): string {
    const { nodes } = this.#options;
    const node = nodes[this.#next % nodes.length] ?? '';
    this.#next += 1;
    return node;
  }
}

/** How far an answer has been received. */
class Progress {
  requestId: string | undefined;
  lastEventId = '0-0';
  #isFinished = false;
  #number = 0;

  /** True once the last event was received. */
  isFinished(): boolean {
    return this.#isFinished;
  }

  /** Notes an event; false when it was received before. */
  take(event: AnswerEvent): boolean {
    const number = Number(event.id.split('-')[1]);
    if (number <= this.#number) return false;
    this.#number = number;
    this.lastEventId = event.id;
    if (
      event.type === 'accepted' &&
      typeof event.data.id === 'string' &&
      event.data.id.startsWith('r1.')
    ) {
      this.requestId = event.data.id;
    }
    this.#isFinished = event.type === 'done' || event.type === 'failed';
    return true;
  }
}
