import { setTimeout as sleep } from 'node:timers/promises';
import { RetryBudget, decideRetry } from '@ragwortrudder/admission';
import { inject, injectable } from 'inversify';
import type { Clock, Failure, Random } from '@ragwortrudder/core';
import type { Settings } from '@ragwortrudder/settings';
import { OutcomeUnknown } from '../../errors/outcome-unknown.ts';
import { RunnerFailed } from '../../errors/runner-failed.ts';
import { RunnerUnavailable } from '../../errors/runner-unavailable.ts';
import type { Assignment } from '../../types/assignment.ts';
import type { OperationOutcome } from '../../types/operation-outcome.ts';
import { tokens } from '../../types/tokens.ts';
import { retryKeyOf } from '../../utils/retry-key-of.ts';
import { runnerLoadOf } from '../../utils/runner-load-of.ts';
import { toOutcome } from '../../utils/to-outcome.ts';
import { Metrics } from '../metrics/metrics.ts';
import { runInBackground } from '../metrics/run-in-background.ts';
import { VersionMoves } from '../moves/version-moves.ts';
import { KeyedRequests } from '../requests/keyed-requests.ts';
import type { OwnedRequest } from '../requests/owned-request.ts';
import { ApplicationClient } from './application-client.ts';
import { RunnerPool } from './runner-pool.ts';

const RUNNER_RETRY_AFTER_MS = 1000;
const DEADLINE_MARGIN_MS = 50;

/** Runs requests on application runners, one attempt at a time. */
@injectable()
export class ApplicationRuns {
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pool: RunnerPool;
  readonly #moves: VersionMoves;
  readonly #client: ApplicationClient;
  readonly #keyedRequests: KeyedRequests;
  readonly #metrics: Metrics;
  readonly #retryBudget: RetryBudget;

  constructor(
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) clock: Clock,
    @inject(tokens.random) random: Random,
    @inject(RunnerPool) pool: RunnerPool,
    @inject(VersionMoves) moves: VersionMoves,
    @inject(ApplicationClient) client: ApplicationClient,
    @inject(KeyedRequests) keyedRequests: KeyedRequests,
    @inject(Metrics) metrics: Metrics,
  ) {
    this.#settings = settings;
    this.#clock = clock;
    this.#random = random;
    this.#pool = pool;
    this.#moves = moves;
    this.#client = client;
    this.#keyedRequests = keyedRequests;
    this.#metrics = metrics;
    this.#retryBudget = new RetryBudget({ ratio: settings.requests.retryShare });
  }

  /** Makes one attempt; returns true if the request must be queued for another one. */
  async run(owned: OwnedRequest, assignment: Assignment): Promise<boolean> {
    owned.advance('DISPATCH');
    if (owned.attempts.started === 0)
      this.#retryBudget.recordFirstAttempt(retryKeyOf(owned.request), this.#clock.monotonic());
    if (
      !owned.request.idempotent &&
      owned.attempts.started === 0 &&
      !(await this.#beginExecution(owned, assignment))
    )
      return false;
    owned.attempts.start();
    const answer = await this.#callRunner(owned, assignment);
    return this.#handleAnswer(owned, assignment, answer);
  }

  /** Acquires the right to send a non-idempotent request; ends the request if that fails. */
  async #beginExecution(owned: OwnedRequest, { runner }: Assignment): Promise<boolean> {
    const outcome = await this.#keyedRequests.permitOf(owned).begin();
    if (!outcome) return true;
    if (outcome.notRun) {
      const promise = this.#keyedRequests.finish(owned, 'not-run');
      runInBackground({ task: 'outcome', metrics: this.#metrics, promise });
    }
    runner.limit.release({ outcome: 'ignored', latencyMs: 0 }, this.#clock.monotonic());
    owned.fail(outcome);
    return false;
  }

  async #callRunner(owned: OwnedRequest, assignment: Assignment): Promise<OperationOutcome> {
    const { runner, version } = assignment;
    const { request } = owned;
    const { input } = request;
    if (input.kind !== 'application')
      return { kind: 'not-run', reason: 'the request input is not an application operation' };
    const startedAt = this.#clock.monotonic();
    this.#pool.recordSent(runner);
    runner.tracker.recordSent({ id: request.id, promptTokens: 0, blocks: [] }, startedAt);
    this.#metrics.count('attempts', { service: request.service });
    const answer = await this.#client.call({
      endpoint: runner.identity.endpoint,
      key: request.key ?? request.id,
      operation: input.operation,
      payload: input.payload,
      timeoutMs: Math.max(
        DEADLINE_MARGIN_MS,
        Math.min(
          this.#settings.requests.operationTimeoutMs,
          owned.remainingMs - DEADLINE_MARGIN_MS,
        ),
      ),
      // A non-idempotent call is never aborted, since its outcome would be unknown.
      signal: request.idempotent ? owned.signal : new AbortController().signal,
    });
    const now = this.#clock.monotonic();
    const latencyMs = now - startedAt;
    const ok = answer.kind === 'completed' || answer.kind === 'refused';
    runner.tracker.recordEnd(request.id, ok, now);
    runner.limit.release({ outcome: ok ? 'ok' : 'overloaded', latencyMs }, now);
    this.#pool.recordOutcome(runner, { ok, ...(ok ? { latencyMs } : {}) });
    this.#moves.record({
      service: request.service,
      version,
      route: request.class,
      load: runnerLoadOf(this.#pool.view(runner)),
      kind: ok ? 'success' : answer.kind === 'failed' ? 'failure' : 'excused',
      ...(ok ? { latencyRatio: latencyMs / Math.max(1, assignment.referenceMs) } : {}),
    });
    return answer;
  }

  async #handleAnswer(
    owned: OwnedRequest,
    assignment: Assignment,
    answer: OperationOutcome,
  ): Promise<boolean> {
    if (owned.ended) return false;
    const { id } = assignment.runner.identity;
    if (answer.kind === 'completed') {
      await this.#keyedRequests.finish(owned, 'completed', answer.result);
      owned.emit({ type: 'result', result: answer.result });
      owned.complete(0);
      return false;
    }
    if (answer.kind === 'refused') {
      await this.#keyedRequests.finish(owned, 'failed', { status: answer.status });
      owned.fail({
        code: 'operation-refused',
        title: answer.reason,
        retryable: false,
        notRun: false,
      });
      return false;
    }
    owned.attempts.interrupt(id, 'failure');
    this.#metrics.count('attempts_failed', { service: owned.request.service });
    if (await this.#mayRetry(owned, answer)) return true;
    await this.#failRequest(owned, id, answer);
    return false;
  }

  async #mayRetry(owned: OwnedRequest, answer: OperationOutcome): Promise<boolean> {
    const now = this.#clock.monotonic();
    const decision = decideRetry({
      request: {
        key: retryKeyOf(owned.request),
        retriesLeft: this.#settings.requests.maxAttempts - owned.attempts.failed,
        idempotent: owned.request.idempotent,
        notRun: answer.kind === 'not-run',
        deadlineAt: now + owned.remainingMs,
        attempts: owned.attempts.failed,
      },
      budget: this.#retryBudget,
      random: this.#random,
      now,
    });
    if (!decision.retry) return false;
    await sleep(decision.delayMs, undefined, { signal: owned.signal }).catch(() => undefined);
    owned.advance('RETRY');
    this.#metrics.count('retries', { service: owned.request.service });
    return true;
  }

  async #failRequest(
    owned: OwnedRequest,
    runnerId: string,
    answer: OperationOutcome,
  ): Promise<void> {
    if (owned.request.idempotent) {
      owned.fail(toOutcome(this.#toFailure(owned, runnerId, answer)));
      return;
    }
    if (answer.kind === 'not-run') {
      await this.#keyedRequests.finish(owned, 'not-run');
      owned.fail({
        ...toOutcome(new RunnerUnavailable(owned.request.service, RUNNER_RETRY_AFTER_MS)),
        notRun: true,
      });
      return;
    }
    const isFailed = answer.kind === 'failed';
    await this.#keyedRequests.finish(owned, isFailed ? 'failed' : 'unknown');
    const failure = isFailed
      ? this.#toFailure(owned, runnerId, answer)
      : new OutcomeUnknown(owned.request.key ?? '');
    owned.fail({ ...toOutcome(failure), retryable: false }, isFailed ? 'FAIL' : 'LOSE');
  }

  #toFailure(owned: OwnedRequest, runnerId: string, answer: OperationOutcome): Failure {
    if (answer.kind === 'not-run')
      return new RunnerUnavailable(owned.request.service, RUNNER_RETRY_AFTER_MS);
    return new RunnerFailed(runnerId, 'reason' in answer ? answer.reason : answer.kind);
  }
}
