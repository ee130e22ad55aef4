import { setTimeout as sleep } from 'node:timers/promises';
import { RetryBudget } from '@ragwortrudder/admission';
import { inject, injectable } from 'inversify';
import type { Clock, Random } from '@ragwortrudder/core';
import { reclaimChoice } from '@ragwortrudder/routing';
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
import { VersionMoves } from '../moves/version-moves.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';
import { Dispatcher } from './dispatcher.ts';
import { ModelAttempt } from './model-attempt.ts';
import { ModelClient } from './model-client.ts';
import { RunnerClient } from './runner-client.ts';
import { RunnerPool } from './runner-pool.ts';

const RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2000;
const KV_TOKENS_PER_SECOND = 50_000;
const KV_OVERHEAD_MS = 20;

type AttemptFailure = Extract<AttemptEnd, { readonly kind: 'failed' }>;

/** Runs requests on model engines, attempt by attempt. */
@injectable()
export class ModelRuns {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pool: RunnerPool;
  readonly #dispatcher: Dispatcher;
  readonly #moves: VersionMoves;
  readonly #model: ModelClient;
  readonly #client: RunnerClient;
  readonly #metrics: Metrics;
  readonly #attempts = new Set<ModelAttempt>();
  readonly #budget: RetryBudget;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(Dispatcher) dispatcher: Dispatcher,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(ModelClient) model: ModelClient,
    @inject(RunnerClient) client: RunnerClient,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#random = random;
    this.#pool = pool;
    this.#dispatcher = dispatcher;
    this.#moves = moves;
    this.#model = model;
    this.#client = client;
    this.#metrics = metrics;
    this.#budget = new RetryBudget({ ratio: settings.requests.retryShare });
  }

  /** Makes one attempt; returns true when another one must follow. */
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

  /** Checks the progress of all streams, and moves those whose runner is leaving. */
  check(): void {
    for (const attempt of this.#attempts) {
      void attempt.checkProgress();
      const { reclaimAt } = attempt.assignment.runner;
      if (reclaimAt !== undefined) void this.#leaveRunner(attempt, reclaimAt);
    }
  }

  #begin(owned: OwnedRequest, assignment: Assignment): ModelAttempt {
    const { runner, request } = assignment;
    owned.advance('DISPATCH');
    if (owned.attempts.started === 0)
      this.#budget.firstTry(retryKeyOf(owned.request), this.#clock.monotonic());
    owned.attempts.start();
    const attempt = new ModelAttempt({
      owned,
      assignment,
      model: this.#model,
      client: this.#client,
      clock: this.#clock,
      metrics: this.#metrics,
    });
    this.#attempts.add(attempt);
    this.#pool.sent(runner);
    const sent = { id: attempt.id, promptTokens: request.promptTokens, blocks: request.blocks };
    runner.tracker.sent(sent, this.#clock.monotonic());
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
    runner.tracker.ended(attempt.id, ok, now);
    const latencyMs = firstTokenMs ?? attempt.elapsedMs;
    const outcome = ok ? 'ok' : end.kind === 'failed' ? 'overloaded' : 'ignored';
    runner.limit.release({ outcome, latencyMs }, now);
    if (ok || end.kind === 'failed') {
      this.#pool.record(runner, {
        ok,
        ...(firstTokenMs === undefined ? {} : { latencyMs: firstTokenMs }),
      });
    }
    const isFailure = end.kind === 'failed' && end.isVersion && runner.reclaimAt === undefined;
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
    const isPoison = end.isVersion && owned.attempts.failed >= this.#settings.requests.maxAttempts;
    if (isPoison) {
      owned.fail(toOutcome(new RunnerFailed(assignment.runner.identity.id, end.reason)));
      return false;
    }
    const bound = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** owned.attempts.failed);
    do {
      await sleep(bound * (0.5 + this.#random.next() / 2), undefined, {
        signal: owned.signal,
      }).catch(() => undefined);
      if (owned.ended || owned.remainingMs <= 0) return true;
    } while (!this.#budget.trySpend(retryKeyOf(owned.request), this.#clock.monotonic()));
    owned.advance('RETRY');
    this.#metrics.count('retries', { service: owned.request.service });
    return true;
  }

  /** Ends an attempt on a leaving runner when another runner finishes the request at less cost. */
  async #leaveRunner(attempt: ModelAttempt, reclaimAt: number): Promise<void> {
    const { owned, assignment } = attempt;
    const { runner, version } = assignment;
    const { input } = owned.request;
    const { reclaimPolicy } = this.#settings.runners;
    if (input.kind !== 'model' || attempt.isLeaving || reclaimPolicy === 'finish') return;
    const mayFinish = reclaimPolicy === 'cost';
    const mayMove = reclaimPolicy !== 'recompute';
    const request = this.#dispatcher.describe(owned, version);
    const choice = reclaimChoice({
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
          tokensPerSecond: KV_TOKENS_PER_SECOND,
          overheadMs: KV_OVERHEAD_MS,
        },
      }),
    });
    if (choice.action === 'finish') return;
    attempt.isLeaving = true;
    this.#metrics.count('reclaim_choices', { action: choice.action });
    if (choice.action === 'move-kv' && choice.target) await this.#moveKv(attempt, choice.target);
    attempt.interrupt('reclaim');
  }

  async #moveKv(attempt: ModelAttempt, target: RunnerView): Promise<void> {
    const from = attempt.assignment.runner.identity.endpoint;
    try {
      await this.#client.moveKv({ from, to: target.endpoint, requestId: attempt.id });
      attempt.owned.attempts.prefer(target.id);
    } catch {
      this.#metrics.count('kv_moves_failed');
    }
  }
}
