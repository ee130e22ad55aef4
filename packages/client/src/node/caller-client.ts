import { setTimeout as sleep } from 'node:timers/promises';
import { Failure } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import type { AnswerEvent } from '../types/answer-event.ts';
import type { CallerClientOptions } from '../types/caller-client-options.ts';
import type { ClientRequest } from '../types/client-request.ts';
import { IssuedKey } from '../types/issued-key.ts';
import { KeyReport } from '../types/key-report.ts';
import { readEventSource } from './event-source.ts';
import { NodeHttpClient } from './node-http-client.ts';

const DEFAULT_CONNECT_MS = 1000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_PATIENCE_MS = 60_000;
const DEFAULT_RETRY_DELAY_MS = 500;

/** Client for tenants that reconnects to any node and resumes an answer where it was interrupted. */
export class CallerClient {
  readonly #options: CallerClientOptions;
  readonly #http: NodeHttpClient;

  constructor(options: CallerClientOptions) {
    this.#options = options;
    const { nodes, key, random } = options;
    this.#http = new NodeHttpClient({
      nodes,
      key,
      first: Math.floor(random.next() * nodes.length),
    });
  }

  /**
   * Submits a request and yields the events of its answer, each once and in order. If the connection
   * fails before the client receives the `accepted` event, the request is submitted again, so a request
   * without an idempotency key must be idempotent.
   * @throws the last failure if it is not retryable or `patienceMs` has passed.
   */
  async *submit(request: ClientRequest): AsyncGenerator<AnswerEvent> {
    const retryUntil = performance.now() + (request.patienceMs ?? DEFAULT_PATIENCE_MS);
    const progress = new AnswerProgress();
    while (!progress.isFinished()) {
      const node = this.#http.nextNode();
      request.observer?.connecting(node, progress.requestId !== undefined);
      try {
        for await (const event of this.#connect(node, request, progress)) {
          if (progress.isForeign(event))
            throw new ConnectionLost(node, 'an event is of another run');
          if (progress.isBehind(event)) throw new ConnectionLost(node, 'an event is missing');
          if (progress.advance(event)) yield event;
          // What becomes of the connection after the final event says nothing about the answer.
          if (progress.isFinished()) return;
        }
        if (!progress.isFinished()) throw new ConnectionLost(node);
      } catch (error) {
        if (error instanceof Failure) request.observer?.failed(node, error);
        await this.#waitToRetry(error, retryUntil);
      }
    }
  }

  /** Requests an idempotency key that names the node which executes the request. */
  async issueKey(): Promise<string> {
    return IssuedKey.parse(await this.#http.call({ method: 'POST', path: '/v1/keys' })).key;
  }

  /** Returns the outcome of the request with an idempotency key. */
  async showKey(key: string): Promise<KeyReport> {
    const path = `/v1/keys/${encodeURIComponent(key)}`;
    return KeyReport.parse(await this.#http.call({ method: 'GET', path }));
  }

  #connect(
    node: string,
    request: ClientRequest,
    { requestId, lastEventId }: AnswerProgress,
  ): AsyncGenerator<AnswerEvent> {
    const common = {
      node,
      connectMs: this.#options.connectMs ?? DEFAULT_CONNECT_MS,
      idleTimeoutMs: this.#options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
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
      path: `/v1/services/${encodeURIComponent(request.service)}/requests`,
      headers: {
        authorization,
        ...(request.idempotencyKey === undefined
          ? {}
          : { 'idempotency-key': request.idempotencyKey }),
      },
      body: JSON.stringify(request.body),
    });
  }

  async #waitToRetry(error: unknown, retryUntil: number): Promise<void> {
    const isRetryable = error instanceof Failure && error.retryable;
    const delayMs =
      (error instanceof Failure ? error.retryAfterMs : undefined) ?? DEFAULT_RETRY_DELAY_MS;
    const jitteredDelayMs = delayMs * (1 + this.#options.random.next() / 2);
    if (!isRetryable || performance.now() + jitteredDelayMs > retryUntil) throw error;
    await sleep(jitteredDelayMs);
  }
}

/** Tracks which events of an answer have been received. */
class AnswerProgress {
  requestId: string | undefined;
  lastEventId = '0-0';
  #isFinished = false;
  #lastNumber = 0;
  /** Epochs of the events by their numbers. */
  readonly #epochs: number[] = [0];

  /** True once the final event has been received. */
  isFinished(): boolean {
    return this.#isFinished;
  }

  /** True if the event has come before with another epoch, or its epoch is older than the last one. */
  isForeign(event: AnswerEvent): boolean {
    const number = numberOf(event);
    if (number <= this.#lastNumber) return epochOf(event) !== this.#epochs[number];
    return epochOf(event) < (this.#epochs.at(-1) ?? 0);
  }

  /** True if events between the last one received and `event` are missing, or it has no number. */
  isBehind(event: AnswerEvent): boolean {
    return !(numberOf(event) <= this.#lastNumber + 1);
  }

  /** Records an event; returns false if it is a duplicate. */
  advance(event: AnswerEvent): boolean {
    const number = numberOf(event);
    if (number <= this.#lastNumber) return false;
    this.#lastNumber = number;
    this.#epochs.push(epochOf(event));
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

/** Number of an event, which its id contains; NaN if the id is malformed. */
function numberOf({ id }: AnswerEvent): number {
  return Number(id.split('-')[1]);
}

/** Epoch of an event, which its id contains; NaN if the id is malformed. */
function epochOf({ id }: AnswerEvent): number {
  return Number(id.split('-')[0]);
}
