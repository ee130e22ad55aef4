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
/** Finish reasons of the engine with which the answer is complete. */
const COMPLETE_FINISH_REASONS: ReadonlySet<string> = new Set(['length', 'stop']);

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
  /** True once the request is being moved to another runner. */
  isMigrating = false;
  /** Identifies this attempt to the engine. */
  readonly id: string;
  readonly #options: ModelAttemptOptions;
  readonly #abortController = new AbortController();
  readonly #connection = new Chart(connectionChart);
  readonly #startedAt: number;
  #interruptCause: RecomputeCause | undefined;
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

  /** Time from the start to the first token in milliseconds; undefined before the first token. */
  get firstTokenMs(): number | undefined {
    return this.#firstTokenAt === undefined ? undefined : this.#firstTokenAt - this.#startedAt;
  }

  /** Time since the start in milliseconds. */
  get elapsedMs(): number {
    return this.#options.clock.monotonic() - this.#startedAt;
  }

  /** Ends the attempt so that another one continues the request. */
  interrupt(cause: RecomputeCause): void {
    this.#interruptCause ??= cause;
    this.#abortController.abort();
  }

  /** Streams tokens until the request or the attempt ends. */
  async run(): Promise<AttemptEnd> {
    const { streamWatch: watch } = this.assignment.runner;
    watch.start(this.id, this.#options.clock.monotonic());
    try {
      return await this.#stream();
    } catch (error) {
      return this.#classifyError(error);
    } finally {
      watch.stop(this.id);
      this.#abortController.abort();
      this.#cancelIfUnfinished();
    }
  }

  /** Probes the runner on a new connection if the stream has been silent for too long. */
  async checkProgress(): Promise<void> {
    const { streamWatch: watch } = this.assignment.runner;
    const context = this.#streamContext();
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
    const signal = runner.streamWatch.handleProbeResult(
      this.id,
      result,
      clock.monotonic(),
      context,
    );
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
    const signal = AbortSignal.any([owned.signal, this.#abortController.signal]);
    const { endpoint } = this.assignment.runner.identity;
    for await (const engineEvent of this.#options.model.generate(endpoint, generation, signal)) {
      const end = this.#handleEvent(engineEvent);
      if (end) return end;
    }
    return {
      kind: 'failed',
      reason: 'the stream ended without a finish reason',
      countsAgainstVersion: true,
    };
  }

  /** Handles one event of the engine; returns the end of the attempt if the event ends it. */
  #handleEvent(engineEvent: EngineEvent): AttemptEnd | undefined {
    const now = this.#options.clock.monotonic();
    const { tracker, streamWatch: watch } = this.assignment.runner;
    if (engineEvent.type === 'error')
      return { kind: 'failed', reason: engineEvent.message, countsAgainstVersion: true };
    if (engineEvent.type === 'done') return this.#classifyFinish(engineEvent.finish);
    if (engineEvent.type === 'start') {
      watch.recordActivity(this.id, now);
      tracker.recordStart(this.id, engineEvent.cachedTokens, engineEvent.computedTokens, now);
      this.#countPromptTokens(engineEvent.cachedTokens, engineEvent.computedTokens);
      return undefined;
    }
    const expected = this.owned.tokenCount;
    if (engineEvent.index < expected) return this.#compareToken(engineEvent);
    if (engineEvent.index > expected)
      return {
        kind: 'failed',
        reason: 'the runner skipped a token of the stream',
        countsAgainstVersion: true,
      };
    this.#recordToken(now);
    this.owned.emit({ type: 'token', index: engineEvent.index, text: engineEvent.text });
    return undefined;
  }

  /** A token that the caller has received may come again only as it was. */
  #compareToken({
    index,
    text,
  }: Extract<EngineEvent, { readonly type: 'token' }>): AttemptEnd | undefined {
    if (this.owned.events.tokens[index] === text) return undefined;
    return {
      kind: 'failed',
      reason: 'the runner began the stream again with another token',
      countsAgainstVersion: true,
    };
  }

  #classifyFinish(finish: string): AttemptEnd {
    if (COMPLETE_FINISH_REASONS.has(finish)) return { kind: 'done', tokens: this.owned.tokenCount };
    return {
      kind: 'failed',
      reason: `the runner ended the stream with finish reason ${finish}`,
      countsAgainstVersion: false,
    };
  }

  #recordToken(now: number): void {
    const { tracker, streamWatch: watch } = this.assignment.runner;
    watch.recordToken(this.id, now);
    if (this.#firstTokenAt === undefined) {
      this.#firstTokenAt = now;
      tracker.recordFirstToken(this.id, now);
    } else if (this.#lastTokenAt !== undefined) {
      tracker.recordTokenGap(now - this.#lastTokenAt);
    }
    this.#lastTokenAt = now;
    if (this.#connection.state === 'suspect') this.#connection.send('PROGRESS');
  }

  #countPromptTokens(cached: number, computed: number): void {
    const { metrics } = this.#options;
    metrics.count('tokens_reused', {}, cached);
    metrics.count('tokens_computed', {}, computed);
    const { recomputeCause: cause } = this.owned.attempts;
    if (cause) metrics.count('tokens_recomputed', { cause }, computed);
  }

  #streamContext(): StreamContext {
    const view = this.assignment.runner.tracker.view(this.#options.clock.monotonic());
    return {
      firstTokenMs: this.assignment.expectedMs,
      ...(view.load?.stepMs === undefined ? {} : { stepMs: view.load.stepMs }),
      ...(view.load?.waiting === undefined ? {} : { waiting: view.load.waiting }),
    };
  }

  #classifyError(error: unknown): AttemptEnd {
    if (this.owned.signal.aborted) return { kind: 'abandoned' };
    if (this.#interruptCause === 'failure')
      return {
        kind: 'failed',
        reason: 'the runner cannot be reached',
        countsAgainstVersion: false,
      };
    if (this.#interruptCause) return { kind: 'interrupted', cause: this.#interruptCause };
    const reason = error instanceof Error ? error.message : 'unexpected';
    return { kind: 'failed', reason, countsAgainstVersion: /status code|HTTP/i.test(reason) };
  }

  #cancelIfUnfinished(): void {
    const { endpoint } = this.assignment.runner.identity;
    if (
      this.owned.state === 'running' &&
      !this.owned.events.closed &&
      this.#interruptCause === undefined
    )
      return;
    this.#options.client.cancel(endpoint, this.id).catch(() => undefined);
  }
}
