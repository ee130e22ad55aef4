import { setTimeout as sleep } from 'node:timers/promises';
import { RetryBudget } from '@ragwortrudder/admission';
import { inject, injectable } from 'inversify';
import type { Clock, Random } from '@ragwortrudder/core';
import { chooseReclaimAction } from '@ragwortrudder/routing';
import type { RunnerView } from '@ragwortrudder/routing';
import type { Settings } from '@ragwortrudder/settings';
import { RunnerFailed } from '../../errors/runner-failed.ts';
import type { Assignment } from '../../types/assignment.ts';
import type { AttemptEnd } from '../../types/attempt-end.ts';
import { tokens } from '../../types/tokens.ts';
import { retryKeyOf } from '../../utils/retry-key-of.ts';
import { runnerLoadOf } from '../../utils/runner-load-of.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { Metrics } from '../metrics/metrics.ts';
import { runInBackground } from '../metrics/run-in-background.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';
import { Dispatcher } from './dispatcher.ts';
import { ModelAttempt } from './model-attempt.ts';
import { ModelClient } from './model-client.ts';
import { RunnerClient } from './runner-client.ts';
import { RunnerPool } from './runner-pool.ts';

const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;
const KV_EXPORT_TOKENS_PER_SECOND = 50_000;
const KV_EXPORT_OVERHEAD_MS = 20;

type AttemptFailure = Extract<AttemptEnd, { readonly kind: 'failed' }>;

/** Runs requests on model engines, one attempt at a time. */
@injectable()
export class ModelRuns {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pool: RunnerPool;
  readonly #dispatcher: Dispatcher;
  readonly #moves: VersionMoves;
  readonly #modelClient: ModelClient;
  readonly #runnerClient: RunnerClient;
  readonly #metrics: Metrics;
  readonly #attempts = new Set<ModelAttempt>();
  readonly #retryBudget: RetryBudget;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(Dispatcher) dispatcher: Dispatcher,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(ModelClient) modelClient: ModelClient,
    @inject(RunnerClient) runnerClient: RunnerClient,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#random = random;
    this.#pool = pool;
    this.#dispatcher = dispatcher;
    this.#moves = moves;
    this.#modelClient = modelClient;
    this.#runnerClient = runnerClient;
    this.#metrics = metrics;
    this.#retryBudget = new RetryBudget({ ratio: settings.requests.retryShare });
  }

  /** Makes one attempt; returns true if the request must be queued for another one. */
  async run(owned: OwnedRequest, assignment: Assignment): Promise<boolean> {
    const attempt = this.#begin(owned, assignment);
    const end = await attempt.run();
    this.#finish(attempt, end);
    if (end.kind === 'abandoned') return false;
    if (end.kind === 'done') {
      owned.complete(end.tokens);
      return false;
    }
    const { id } = assignment.runner.identity;
    owned.attempts.interrupt(id, end.kind === 'failed' ? 'failure' : end.cause);
    return end.kind === 'interrupted' || this.#mayRetry(owned, assignment, end);
  }

  /** Checks the progress of all streams, and migrates those on runners that will be reclaimed. */
  check(): void {
    for (const attempt of this.#attempts) {
      this.#inBackground('progress', attempt.checkProgress());
      const { reclaimAt } = attempt.assignment.runner;
      if (reclaimAt !== undefined) {
        this.#inBackground('migration', this.#migrate(attempt, reclaimAt));
      }
    }
  }

  #inBackground(task: string, promise: Promise<void>): void {
    runInBackground({ task, metrics: this.#metrics, promise });
  }

  #begin(owned: OwnedRequest, assignment: Assignment): ModelAttempt {
    const { runner, request } = assignment;
    owned.advance('DISPATCH');
    if (owned.attempts.started === 0)
      this.#retryBudget.recordFirstAttempt(retryKeyOf(owned.request), this.#clock.monotonic());
    owned.attempts.start();
    const attempt = new ModelAttempt({
      owned,
      assignment,
      model: this.#modelClient,
      client: this.#runnerClient,
      clock: this.#clock,
      metrics: this.#metrics,
    });
    this.#attempts.add(attempt);
    this.#pool.recordSent(runner);
    const sent = { id: attempt.id, promptTokens: request.promptTokens, blocks: request.blocks };
    runner.tracker.recordSent(sent, this.#clock.monotonic());
    this.#metrics.count('attempts', { service: owned.request.service });
    return attempt;
  }

  #finish(attempt: ModelAttempt, end: AttemptEnd): void {
    const { runner, version, referenceMs } = attempt.assignment;
    const { request } = attempt.owned;
    const now = this.#clock.monotonic();
    const ok = end.kind === 'done';
    const { firstTokenMs } = attempt;
    this.#attempts.delete(attempt);
    runner.tracker.recordEnd(attempt.id, ok, now);
    const latencyMs = firstTokenMs ?? attempt.elapsedMs;
    const outcome = ok ? 'ok' : end.kind === 'failed' ? 'overloaded' : 'ignored';
    runner.limit.release({ outcome, latencyMs }, now);
    if (ok || end.kind === 'failed') {
      this.#pool.recordOutcome(runner, {
        ok,
        ...(firstTokenMs === undefined ? {} : { latencyMs: firstTokenMs }),
      });
    }
    const isFailure =
      end.kind === 'failed' && end.countsAgainstVersion && runner.reclaimAt === undefined;
    this.#moves.record({
      service: request.service,
      version,
      route: request.class,
      load: runnerLoadOf(this.#pool.view(runner)),
      kind: ok ? 'success' : isFailure ? 'failure' : 'excused',
      ...(ok && firstTokenMs !== undefined
        ? { latencyRatio: firstTokenMs / Math.max(1, referenceMs) }
        : {}),
    });
    if (end.kind === 'failed') this.#metrics.count('attempts_failed', { service: request.service });
  }

  async #mayRetry(
    owned: OwnedRequest,
    assignment: Assignment,
    end: AttemptFailure,
  ): Promise<boolean> {
    const isPoisonRequest =
      end.countsAgainstVersion && owned.attempts.failed >= this.#settings.requests.maxAttempts;
    if (isPoisonRequest) {
      owned.fail(toOutcome(new RunnerFailed(assignment.runner.identity.id, end.reason)));
      return false;
    }
    const maxDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** owned.attempts.failed,
    );
    do {
      await sleep(maxDelayMs * (0.5 + this.#random.next() / 2), undefined, {
        signal: owned.signal,
      }).catch(() => undefined);
      if (owned.ended || owned.remainingMs <= 0) return true;
    } while (!this.#retryBudget.trySpend(retryKeyOf(owned.request), this.#clock.monotonic()));
    owned.advance('RETRY');
    this.#metrics.count('retries', { service: owned.request.service });
    return true;
  }

  /**
   * Interrupts an attempt on a runner that will be reclaimed, if the reclaim policy decides to
   * continue the request on another runner.
   */
  async #migrate(attempt: ModelAttempt, reclaimAt: number): Promise<void> {
    const { owned, assignment } = attempt;
    const { runner, version } = assignment;
    const { input } = owned.request;
    const { reclaimPolicy } = this.#settings.runners;
    if (input.kind !== 'model' || attempt.isMigrating || reclaimPolicy === 'finish') return;
    const mayFinish = reclaimPolicy === 'cost';
    const mayMove = reclaimPolicy !== 'recompute';
    const request = this.#dispatcher.describe(owned, version);
    const choice = chooseReclaimAction({
      remainingMs: reclaimAt - this.#clock.wall(),
      request,
      source: this.#pool.view(runner),
      remainingTokens: mayFinish ? input.maxTokens - owned.events.tokens.length : Infinity,
      candidates: this.#pool.views(owned.request.service, version),
      random: this.#random,
      cache: this.#pool.cache,
      ...(mayMove && {
        kvExport: {
          tokens: request.promptTokens,
          tokensPerSecond: KV_EXPORT_TOKENS_PER_SECOND,
          overheadMs: KV_EXPORT_OVERHEAD_MS,
        },
      }),
    });
    if (choice.action === 'finish') return;
    attempt.isMigrating = true;
    this.#metrics.count('reclaim_choices', { action: choice.action });
    if (choice.action === 'move-kv' && choice.target) await this.#moveKv(attempt, choice.target);
    attempt.interrupt('reclaim');
  }

  async #moveKv(attempt: ModelAttempt, target: RunnerView): Promise<void> {
    const from = attempt.assignment.runner.identity.endpoint;
    try {
      await this.#runnerClient.moveKv({ from, to: target.endpoint, requestId: attempt.id });
      attempt.owned.attempts.prefer(target.id);
    } catch {
      this.#metrics.count('kv_moves_failed');
    }
  }
}
