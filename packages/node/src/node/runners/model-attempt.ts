import { Chart, connection as connectionChart } from '@ragwortrudder/charts';
import type { Clock } from '@ragwortrudder/core';
import type { RecomputeCause, StreamContext } from '@ragwortrudder/routing';
import type { Assignment } from '../../types/assignment.ts';
import type { AttemptEnd } from '../../types/attempt-end.ts';
import type { EngineEvent } from '../../types/engine-event.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';
import type { ModelClient } from './model-client.ts';
import type { RunnerClient } from './runner-client.ts';

const PRIORITY_INTERACTIVE = 1;
const PRIORITY_BATCH = 0;
/** Reasons of the engine to end a stream that make the answer whole. */
const FINISHED: ReadonlySet<string> = new Set(['length', 'stop']);

interface ModelAttemptOptions {
  readonly owned: OwnedRequest;
  readonly assignment: Assignment;
  readonly model: Pick<ModelClient, 'generate'>;
  readonly client: Pick<RunnerClient, 'probe' | 'cancel'>;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/** One attempt to generate the tokens of a request on one runner. */
export class ModelAttempt {
  readonly owned: OwnedRequest;
  readonly assignment: Assignment;
  /** True once it was decided to continue on another runner. */
  isLeaving = false;
  /** Identifies this attempt at the engine. */
  readonly id: string;
  readonly #options: ModelAttemptOptions;
  readonly #stop = new AbortController();
  readonly #connection = new Chart(connectionChart);
  readonly #startedAt: number;
  #cause: RecomputeCause | undefined;
  #firstTokenAt: number | undefined;
  #lastTokenAt: number | undefined;
  #isProbing = false;

  constructor(options: ModelAttemptOptions) {
    this.owned = options.owned;
    this.assignment = options.assignment;
    this.#options = options;
    this.#startedAt = options.clock.monotonic();
    const { request, events, attempts } = options.owned;
    this.id = `${request.id}/${events.epoch}/${attempts.started}`;
  }

  /** Time from the start to the first token in milliseconds; undefined before it. */
  get firstTokenMs(): number | undefined {
    return this.#firstTokenAt === undefined ? undefined : this.#firstTokenAt - this.#startedAt;
  }

  /** Time since the start in milliseconds. */
  get elapsedMs(): number {
    return this.#options.clock.monotonic() - this.#startedAt;
  }

  /** Ends the attempt so that another one continues the request. */
  interrupt(cause: RecomputeCause): void {
    this.#cause ??= cause;
    this.#stop.abort();
  }

  /** Generates tokens until the end of the request or of the attempt. */
  async run(): Promise<AttemptEnd> {
    const { watch } = this.assignment.runner;
    watch.open(this.id, this.#options.clock.monotonic());
    try {
      return await this.#stream();
    } catch (error) {
      return this.#endOf(error);
    } finally {
      watch.closeStream(this.id);
      this.#stop.abort();
      this.#cancelIfUnfinished();
    }
  }

  /** Probes the runner on a new connection when the stream is silent for too long. */
  async checkProgress(): Promise<void> {
    const { watch } = this.assignment.runner;
    const context = this.#context();
    if (
      this.#isProbing ||
      watch.verdict(this.id, this.#options.clock.monotonic(), context) === 'wait'
    )
      return;
    this.#isProbing = true;
    if (this.#connection.can('STALL')) this.#connection.send('STALL');
    try {
      await this.#probe(context);
    } finally {
      this.#isProbing = false;
    }
  }

  async #probe(context: StreamContext): Promise<void> {
    const { runner } = this.assignment;
    const { client, clock, metrics } = this.#options;
    const load = await client.probe(runner.identity.endpoint).catch(() => undefined);
    const result = {
      reachable: load !== undefined,
      ...(load?.stepMs === undefined ? {} : { stepMs: load.stepMs }),
    };
    const signal = runner.watch.probed(this.id, result, clock.monotonic(), context);
    metrics.count('stream_probes', { result: signal });
    if (this.#connection.can(signal)) this.#connection.send(signal);
    if (this.#connection.state === 'retired') this.interrupt('silent-connection');
    if (this.#connection.state === 'unreachable') this.interrupt('failure');
  }

  async #stream(): Promise<AttemptEnd> {
    const { owned } = this;
    const { input } = owned.request;
    if (input.kind !== 'model') return { kind: 'abandoned' };
    const generation = {
      requestId: this.id,
      prompt: input.prompt,
      generated: owned.events.tokens,
      maxTokens: input.maxTokens,
      priority: owned.request.class === 'batch' ? PRIORITY_BATCH : PRIORITY_INTERACTIVE,
    };
    const signal = AbortSignal.any([owned.signal, this.#stop.signal]);
    const { endpoint } = this.assignment.runner.identity;
    for await (const event of this.#options.model.generate(endpoint, generation, signal)) {
      const end = this.#take(event);
      if (end) return end;
    }
    return { kind: 'failed', reason: 'the stream ended early', isVersion: true };
  }

  /** Takes in one event of the engine; returns the end of the attempt, if it is one. */
  #take(event: EngineEvent): AttemptEnd | undefined {
    const now = this.#options.clock.monotonic();
    const { tracker, watch } = this.assignment.runner;
    if (event.type === 'error') return { kind: 'failed', reason: event.message, isVersion: true };
    if (event.type === 'done') return this.#endOfStream(event.finish);
    if (event.type === 'start') {
      watch.alive(this.id, now);
      tracker.started(this.id, event.cachedTokens, event.computedTokens, now);
      this.#countTokens(event.cachedTokens, event.computedTokens);
      return undefined;
    }
    const expected = this.owned.tokenCount;
    if (event.index < expected) return undefined;
    if (event.index > expected)
      return { kind: 'failed', reason: 'the runner left out a token', isVersion: true };
    this.#noteToken(now);
    this.owned.emit({ type: 'token', index: event.index, text: event.text });
    return undefined;
  }

  #endOfStream(finish: string): AttemptEnd {
    if (FINISHED.has(finish)) return { kind: 'done', tokens: this.owned.tokenCount };
    return { kind: 'failed', reason: `the runner ended the stream: ${finish}`, isVersion: false };
  }

  #noteToken(now: number): void {
    const { tracker, watch } = this.assignment.runner;
    watch.token(this.id, now);
    if (this.#firstTokenAt === undefined) {
      this.#firstTokenAt = now;
      tracker.firstToken(this.id, now);
    } else if (this.#lastTokenAt !== undefined) {
      tracker.tokenGap(now - this.#lastTokenAt);
    }
    this.#lastTokenAt = now;
    if (this.#connection.state === 'suspect') this.#connection.send('PROGRESS');
  }

  #countTokens(cached: number, computed: number): void {
    const { metrics } = this.#options;
    metrics.count('tokens_reused', {}, cached);
    metrics.count('tokens_computed', {}, computed);
    const { cause } = this.owned.attempts;
    if (cause) metrics.count('tokens_recomputed', { cause }, computed);
  }

  #context(): StreamContext {
    const view = this.assignment.runner.tracker.view(this.#options.clock.monotonic());
    return {
      firstTokenMs: this.assignment.expectedMs,
      ...(view.load?.stepMs === undefined ? {} : { stepMs: view.load.stepMs }),
      ...(view.load?.waiting === undefined ? {} : { waiting: view.load.waiting }),
    };
  }

  #endOf(error: unknown): AttemptEnd {
    if (this.owned.signal.aborted) return { kind: 'abandoned' };
    if (this.#cause === 'failure')
      return { kind: 'failed', reason: 'the runner cannot be reached', isVersion: false };
    if (this.#cause) return { kind: 'interrupted', cause: this.#cause };
    const reason = error instanceof Error ? error.message : 'unexpected';
    return { kind: 'failed', reason, isVersion: /status code|HTTP/i.test(reason) };
  }

  #cancelIfUnfinished(): void {
    const { endpoint } = this.assignment.runner.identity;
    if (this.owned.state === 'running' && !this.owned.events.closed && this.#cause === undefined)
      return;
    this.#options.client.cancel(endpoint, this.id).catch(() => undefined);
  }
}
