import { setTimeout as sleep } from 'node:timers/promises';
import { Failure } from '@ragwortrudder/core';
import { ConnectionLost } from '../errors/connection-lost.ts';
import type { AnswerEvent } from '../types/answer-event.ts';
import type { ClientOptions } from '../types/client-options.ts';
import type { ClientRequest } from '../types/client-request.ts';
import { IssuedKey } from '../types/issued-key.ts';
import { KeyReport } from '../types/key-report.ts';
import { readEventSource } from './event-source.ts';
import { NodeCalls } from './node-calls.ts';

const DEFAULT_CONNECT_MS = 1000;
const DEFAULT_SILENCE_MS = 15_000;
const DEFAULT_PATIENCE_MS = 60_000;
const DEFAULT_RETRY_MS = 500;

/** A caller that reconnects to any node and goes on where its answer broke off. */
export class CallerClient {
  readonly #options: ClientOptions;
  readonly #calls: NodeCalls;

  constructor(options: ClientOptions) {
    this.#options = options;
    const { nodes, key, random } = options;
    this.#calls = new NodeCalls({ nodes, key, first: Math.floor(random.next() * nodes.length) });
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
      const node = this.#calls.nextNode();
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
    return IssuedKey.parse(await this.#calls.call({ method: 'POST', path: '/v1/keys' })).key;
  }

  /** What became of the request under a key. */
  async showKey(key: string): Promise<KeyReport> {
    const path = `/v1/keys/${encodeURIComponent(key)}`;
    return KeyReport.parse(await this.#calls.call({ method: 'GET', path }));
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

  async #waitToRetry(error: unknown, endsAt: number): Promise<void> {
    const isRetryable = error instanceof Failure && error.retryable;
    const delayMs = (error instanceof Failure ? error.retryAfterMs : undefined) ?? DEFAULT_RETRY_MS;
    const jittered = delayMs * (1 + this.#options.random.next() / 2);
    if (!isRetryable || performance.now() + jittered > endsAt) throw error;
    await sleep(jittered);
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
