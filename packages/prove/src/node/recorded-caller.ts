import { CallerClient, ConnectionLost } from '@ragwortrudder/client';
import type { AnswerEvent } from '@ragwortrudder/client';
import type { Failure, Random } from '@ragwortrudder/core';
import type { HistoryRecord } from '@ragwortrudder/history';
import type { CallerRequest } from '../types/caller-request.ts';
import { wordOf } from '../utils/word-of.ts';

const DEFAULT_PATIENCE_MS = 40_000;
const SILENCE_MS = 8000;

interface RecordedCallerOptions {
  readonly name: string;
  readonly request: CallerRequest;
  /** Names of the nodes, by address. */
  readonly nodes: ReadonlyMap<string, string>;
  readonly key: string;
  readonly random: Random;
  readonly record: (event: HistoryRecord) => void;
}

/**
 * Sends one request and records everything that its caller observes. Each submission, the first and
 * every retry, is recorded as a separate invocation.
 */
export class RecordedCaller {
  readonly #options: RecordedCallerOptions;
  #submissions = 0;
  #requestId: string | undefined;

  constructor(options: RecordedCallerOptions) {
    this.#options = options;
  }

  /** Sends the request. Resolves with its final outcome, or `none` if the caller gave up. */
  async run(): Promise<string> {
    const { request, nodes, key, random } = this.#options;
    const client = new CallerClient({
      nodes: [...nodes.keys()],
      key,
      random,
      idleTimeoutMs: SILENCE_MS,
    });
    let word = 'none';
    try {
      const events = client.submit({
        service: request.service,
        body: request.body,
        patienceMs: request.patienceMs ?? DEFAULT_PATIENCE_MS,
        ...(request.key === undefined ? {} : { idempotencyKey: request.key }),
        observer: {
          connecting: (_node, isResume) => {
            if (!isResume) this.#recordInvocation();
          },
          failed: (node, failure) => {
            this.#recordFailure(node, failure);
          },
        },
      });
      for await (const event of events) {
        this.#recordAnswer(event);
        word = wordOf(event) ?? word;
      }
    } catch {
      return word;
    }
    return word;
  }

  get #invocation(): string {
    return `${this.#options.name}/${this.#submissions}`;
  }

  #recordInvocation(): void {
    this.#submissions += 1;
    this.#requestId = undefined;
    const { request, record } = this.#options;
    const { prompt, maxTokens } = request.body;
    record({
      type: 'invocation',
      invocation: this.#invocation,
      tenant: request.tenant,
      service: request.service,
      ...(request.key === undefined ? {} : { key: request.key }),
      ...(typeof prompt === 'string' ? { prompt } : {}),
      ...(typeof maxTokens === 'number' ? { maxTokens } : {}),
    });
  }

  #recordAnswer(event: AnswerEvent): void {
    const [epoch, number] = event.id.split('-').map(Number);
    if (event.type === 'accepted') this.#requestId = String(event.data.id);
    const word = wordOf(event);
    this.#options.record({
      type: 'answer',
      invocation: this.#invocation,
      ...(this.#requestId === undefined ? {} : { requestId: this.#requestId }),
      node: this.#options.nodes.get(event.node) ?? event.node,
      event: event.type,
      ...(epoch === undefined || number === undefined ? {} : { epoch, number }),
      ...(typeof event.data.text === 'string' ? { text: event.data.text } : {}),
      ...(word === undefined ? {} : { word }),
    });
  }

  #recordFailure(node: string, failure: Failure): void {
    const isCut = failure instanceof ConnectionLost;
    const word = failure.notRun
      ? 'not-run'
      : failure.code === 'outcome-unknown'
        ? 'unknown'
        : undefined;
    this.#options.record({
      type: 'answer',
      invocation: this.#invocation,
      ...(this.#requestId === undefined ? {} : { requestId: this.#requestId }),
      node: this.#options.nodes.get(node) ?? node,
      event: isCut ? 'cut' : 'refused',
      ...(word === undefined || isCut ? {} : { word }),
    });
  }
}
