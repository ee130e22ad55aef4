import type { Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import { placeApplicationRequest, placeModelRequest } from '@ragwortrudder/routing';
import { isRepeatKey, PromptQuarantine } from '@ragwortrudder/admission';
import type { PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import { enginePriority } from '../utils/engine-priority.ts';
import { incarnationOf } from '../utils/incarnation-of.ts';
import { nextStep } from '../utils/next-step.ts';
import { placementRequestOf } from '../utils/placement-request-of.ts';
import type { CallerChannel } from './caller-channel.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { RunnerAttempt } from './runner-attempt.ts';

interface ForwardedRequestOptions extends ForwarderOptions {
  readonly request: CallerRequest;
  readonly channel: CallerChannel;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  /** Shared only by repeats of the request. */
  readonly fingerprint: string;
  /** Keys under which the request may be found to crash runners. */
  readonly quarantineKeys: readonly string[];
  /** Refunds the quota that the request consumed. */
  readonly refundQuota: () => void;
}

interface ChosenRunner {
  readonly entry: RunnerEntry;
  /** Expected time to the first token, in milliseconds, or 0 without an estimate. */
  readonly expectedMs: number;
  readonly prefillTokens: number;
}

const SILENT_REASON = 'silent';
const HELD_REASON = 'prompt part quarantined';
const HTTP_OK = 200;
const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;
const HTTP_MISDIRECTED = 421;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
/** Retry-After of a saturated service, in milliseconds: the time of a few responses. */
const SATURATED_RETRY_MS = 400;
/** Minimum remaining time for a retry, in milliseconds: a round trip and a short response. */
const MIN_RETRY_MS = 50;
/**
 * Network and scheduling overhead that is added to both the measured and the expected latency
 * before they are compared, in milliseconds.
 */
const FIXED_OVERHEAD_MS = 60;
/**
 * Lower bound for the silence after which a request is retried elsewhere, in milliseconds,
 * regardless of the latency target.
 */
const MIN_SILENCE_MS = 700;
/** Lower bound of the expected time that a measured one is compared with, in milliseconds. */
const MIN_EXPECTED_MS = 20;
/** Silence of a stream after which it is resumed elsewhere, as a multiple of the route's maximum gap. */
const STREAM_SILENCE_FACTOR = 3;
/**
 * Silence of a single connection after which it is aborted, as a multiple of the limit for a whole
 * runner.
 */
const CONNECTION_SILENCE_FACTOR = 2.5;
/**
 * Silence before the first byte after which a request is retried elsewhere, as a multiple of the
 * latency target.
 */
const FIRST_BYTE_SILENCE_FACTOR = 1.5;

/**
 * Prompt tokens from which a prompt is announced to peers immediately: its prefill takes far longer
 * than a datagram.
 */
const LONG_PROMPT_TOKENS = 8_000;

/** A request in progress: runs attempts at runners until there is a final response. */
export class ForwardedRequest {
  readonly #options: ForwardedRequestOptions;
  readonly #placement: PlacementRequest;
  readonly #arrivedAt: number;
  readonly #deadlineAt: number;
  readonly #tried = new Set<string>();
  /** A roll-out sends this request to the target version. */
  readonly #goesToTarget: boolean;
  #attempt: RunnerAttempt | undefined;
  /** Aborts the current attempt when its runner has been silent for too long. */
  #checkSilence: (() => void) | undefined;
  /** When the current attempt received the first bytes of its response. */
  #respondingSince: number | undefined;
  /** The current attempt has shown that its prompt does not crash runners. */
  #isProved = false;
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;
  #isUsageCounted = false;
  #isFinished = false;

  constructor(options: ForwardedRequestOptions) {
    this.#options = options;
    const { request, route, clock, failureDomain } = options;
    this.#placement = placementRequestOf(
      request,
      failureDomain,
      options.pool.prefillRate(options.service.name).msPerToken,
    );
    this.#goesToTarget = options.rollouts.drawTarget(options.service.name);
    this.#arrivedAt = clock.monotonic();
    this.#deadlineAt = this.#arrivedAt + Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
  }

  /**
   * Runs the request to its final response; throws a `Refusal` that the caller of this method has
   * to send.
   */
  async run(): Promise<void> {
    const { channel, route, service, retryBudget, clock } = this.#options;
    const timer = setTimeout(() => {
      this.#timeOut();
    }, this.#deadlineAt - this.#arrivedAt);
    channel.onDisconnect(() => {
      this.#cancel('caller-left');
    });
    retryBudget.recordFirstAttempt(
      { endpoint: service.name, class: 'interactive' },
      clock.monotonic(),
    );
    try {
      await this.#attemptUntilDone();
    } finally {
      clearTimeout(timer);
      if (!this.#mayHaveRun) this.#options.refundQuota();
    }
    this.#options.metrics.count('requests', { route: route.name });
  }

  /** Checks whether the current runner has been silent for too long; called several times a second. */
  checkSilence(): void {
    this.#checkSilence?.();
  }

  /** Ends the current attempt if its prompt must not be sent to runners and it has no response yet. */
  stopIfHeld(): void {
    if (this.#isFinished || this.#respondingSince !== undefined || !this.#isHeld()) return;
    this.#attempt?.abort({ kind: 'broken', reason: HELD_REASON, isConnectionLost: false });
  }

  #isHeld(): boolean {
    const { quarantine, quarantineKeys } = this.#options;
    return quarantine.isHeld(quarantineKeys);
  }

  async #attemptUntilDone(): Promise<void> {
    for (;;) {
      const chosen = this.#chooseRunner();
      if (!chosen || this.#isHeld()) {
        if (this.#mayHaveRun) this.#fail('runner-broken', HTTP_BAD_GATEWAY);
        throw new Refusal(this.#sends > 0 ? 'runner-full' : 'no-runner', {
          status: HTTP_UNAVAILABLE,
          retryAfterMs: SATURATED_RETRY_MS,
          inputs: this.#refusalInputs(),
        });
      }
      const outcome = await this.#send(chosen);
      if (outcome.kind === 'ended') this.#timeOut();
      if (this.#isFinished) return;
      const isDone = this.#handleOutcome(outcome, chosen);
      if (isDone) return;
    }
  }

  #handleOutcome(outcome: AttemptOutcome, { entry }: ChosenRunner): boolean {
    const { route, channel, service, retryBudget, clock, log, request } = this.#options;
    const now = clock.monotonic();
    const step = nextStep(outcome, {
      route,
      sends: this.#sends,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
      hasBegun: channel.hasBegun,
      canContinue: channel.canContinue,
      canRetry:
        !this.#isHeld() &&
        this.#deadlineAt - now > MIN_RETRY_MS &&
        this.#chooseRunner() !== undefined,
      takeBudget: () => retryBudget.trySpend({ endpoint: service.name, class: 'interactive' }, now),
    });
    if (step !== 'done' && step !== 'answer') {
      log.notable('attempt-ended', {
        request: request.id,
        route: route.name,
        runner: entry.id,
        outcome: outcome.kind,
        reason: outcome.kind === 'broken' ? outcome.reason : undefined,
        sends: this.#sends,
        step,
        afterMs: Math.round(now - this.#arrivedAt),
        ...(outcome.kind === 'broken' ? outcome.transfer : undefined),
        ...(outcome.kind === 'broken' ? this.#interruptionInputs(entry, now) : undefined),
      });
    }
    switch (step) {
      case 'retry':
        return false;
      case 'done':
      case 'answer':
        if (outcome.kind === 'answered') channel.respond(outcome.response);
        this.#logServed(entry, outcome);
        return true;
      case 'refuse':
        throw new Refusal(outcome.kind === 'unsent' ? 'runner-unreachable' : 'runner-full', {
          status: HTTP_UNAVAILABLE,
          retryAfterMs: SATURATED_RETRY_MS,
          inputs: this.#refusalInputs(),
        });
      case 'fail':
        return this.#fail('runner-broken', HTTP_BAD_GATEWAY);
    }
  }

  /** What is needed to tell a request that ends its runner from a runner that ends under its load. */
  #interruptionInputs(
    { id }: RunnerEntry,
    now: number,
  ): Readonly<Record<string, string | number | undefined>> {
    const { requests, kvTokens } = this.#options.loadTracker.workAt(id);
    return {
      fingerprint: this.#options.fingerprint,
      parts: this.#options.request.promptParts.map((part) => part.id).join(','),
      respondingMs:
        this.#respondingSince === undefined ? undefined : Math.round(now - this.#respondingSince),
      otherRequests: requests,
      otherKvTokens: Math.round(kvTokens),
    };
  }

  /** Values that a refusal is based on, for the log. */
  #refusalInputs(): Readonly<Record<string, string | number | undefined>> {
    const { route, team, service, directory, pool, clock } = this.#options;
    const listed = directory.ofService(service.name);
    return {
      route: route.name,
      team: team?.name,
      service: service.name,
      runnersListed: listed.length,
      runnersLimited: pool.countLimited(listed),
      runnersDraining: listed.filter(({ isDraining }) => isDraining).length,
      runnersUsable: pool.candidates(service).length,
      runnersTried: this.#tried.size,
      afterMs: Math.round(clock.monotonic() - this.#arrivedAt),
    };
  }

  #fail(cause: 'runner-broken' | 'time-out', status: number): never {
    this.#isFinished = true;
    throw new Refusal(cause, { status, inputs: this.#refusalInputs() });
  }

  async #send(chosen: ChosenRunner): Promise<AttemptOutcome> {
    const { request, route, team, channel, dialect, clock, pool, loadTracker } = this.#options;
    const { entry } = chosen;
    const sentAt = clock.monotonic();
    const remainingMs = this.#deadlineAt - sentAt;
    if (remainingMs <= 0) return { kind: 'ended' };
    this.#tried.add(entry.id);
    const work: RunnerWork = {
      requests: 1,
      prefillTokens: chosen.prefillTokens,
      kvTokens: this.#placement.ownTokens + this.#placement.sharedTokens,
    };
    let remainingWork = work;
    const isOnlyPrefill = loadTracker.workAt(entry.id).prefillTokens === 0;
    loadTracker.add(entry.id, work);
    if (work.prefillTokens >= LONG_PROMPT_TOKENS) {
      this.#options.onLongPrompt(entry.id, work.prefillTokens);
    }
    pool.recordSend(entry);
    this.#options.sessions.record(this.#placement.session, entry.id, sentAt);
    const isRepeatable = this.#isRepeatable();
    let progressAt = sentAt;
    let firstEventAt: number | undefined;
    const recordFirstEvent = (): void => {
      if (firstEventAt !== undefined) return;
      firstEventAt = clock.monotonic();
      loadTracker.add(entry.id, {
        requests: 0,
        prefillTokens: -remainingWork.prefillTokens,
        kvTokens: 0,
      });
      remainingWork = { ...remainingWork, prefillTokens: 0 };
      this.#recordStart(firstEventAt - sentAt);
      if (isOnlyPrefill) {
        pool.prefillRate(entry.service).add(chosen.prefillTokens, firstEventAt - sentAt);
      }
      const firstEventMs = firstEventAt - sentAt;
      pool.recordSuccess(
        entry,
        (firstEventMs + FIXED_OVERHEAD_MS) / (chosen.expectedMs + FIXED_OVERHEAD_MS),
      );
      this.#recordForRollout(chosen, 'success', firstEventMs);
    };
    channel.onFirstEvent(recordFirstEvent);
    const attempt = new RunnerAttempt({
      dialect,
      agent: pool.agentOf(entry),
      buffers: this.#options.buffers,
      request,
      metadata: {
        runner: entry,
        remainingMs,
        team: team?.name,
        priority: this.#options.service.engine
          ? enginePriority(team?.priority ?? route.priority)
          : undefined,
        lastEventId: channel.lastEventId ?? request.lastEventId,
      },
      ...(route.kind === 'stream' ? { sink: channel } : {}),
      onHead: ({ status, load, requestsPerSecond, isLeaving }) => {
        if (status === HTTP_MISDIRECTED) return;
        if (isLeaving) pool.recordLeaving(entry);
        pool.recordStatedLimit(entry, requestsPerSecond);
        if (load) loadTracker.setReportedLoad(entry.id, load);
      },
      onProgress: () => {
        progressAt = clock.monotonic();
        this.#respondingSince ??= progressAt;
        this.#recordProof(progressAt - this.#respondingSince);
        pool.recordProgress(entry);
      },
    });
    this.#attempt = attempt;
    this.#respondingSince = undefined;
    this.#isProved = false;
    this.#checkSilence = () => {
      const silentMs = clock.monotonic() - progressAt;
      const runnerSilentMs = Math.min(silentMs, pool.silentMs(entry));
      if (
        !isRepeatable ||
        !this.#isTooSilent(silentMs, runnerSilentMs, firstEventAt !== undefined)
      ) {
        return;
      }
      if (!this.#canRetryElsewhere()) return;
      if (runnerSilentMs >= this.#silenceLimitMs(firstEventAt !== undefined)) {
        pool.markUnreachable(entry, SILENT_REASON);
      }
      attempt.abort({ kind: 'broken', reason: SILENT_REASON, isConnectionLost: false });
    };
    this.#sends += 1;
    const outcome = await attempt.outcome;
    this.#checkSilence = undefined;
    loadTracker.add(entry.id, {
      requests: -1,
      prefillTokens: -remainingWork.prefillTokens,
      kvTokens: -remainingWork.kvTokens,
    });
    this.#recordOutcome(outcome, chosen, clock.monotonic() - sentAt);
    this.#recordPromptOutcome(outcome, entry, sentAt);
    this.#countTransfer(outcome);
    return outcome;
  }

  #recordOutcome(
    outcome: AttemptOutcome,
    { entry, expectedMs }: ChosenRunner,
    tookMs: number,
  ): void {
    const { pool, service } = this.#options;
    switch (outcome.kind) {
      case 'unsent':
        this.#sends -= 1;
        this.#unsent += 1;
        pool.markUnreachable(entry, 'connection failed');
        return;
      case 'refused':
        if (outcome.isMisdirected) pool.markUnreachable(entry, 'another runner has the address');
        return;
      case 'answered': {
        const isFailure = outcome.response.head.status >= FIRST_SERVER_ERROR;
        this.#recordStart(tookMs);
        this.#recordForRollout({ entry, expectedMs }, isFailure ? 'failure' : 'success', tookMs);
        if (isFailure) pool.recordFailure(entry);
        else if (!service.engine) {
          pool.recordSuccess(
            entry,
            (tookMs + FIXED_OVERHEAD_MS) / (expectedMs + FIXED_OVERHEAD_MS),
          );
        }
        return;
      }
      case 'broken':
        this.#mayHaveRun = true;
        if (outcome.reason === HELD_REASON) return;
        if (outcome.reason !== SILENT_REASON) pool.recordFailure(entry);
        this.#recordForRollout({ entry, expectedMs }, 'failure', tookMs);
        return;
      case 'relayed':
        this.#recordStart(tookMs);
        return;
      case 'ended':
        this.#mayHaveRun = true;
    }
  }

  #recordProof(respondingMs: number): void {
    if (this.#isProved || respondingMs < PromptQuarantine.proofMs) return;
    this.#isProved = true;
    const { quarantine, quarantineKeys } = this.#options;
    quarantine.recordServed(quarantineKeys);
  }

  /** Records whether the runner may have crashed under the prompt. */
  #recordPromptOutcome(outcome: AttemptOutcome, entry: RunnerEntry, sentAt: number): void {
    if (this.#isProved) return;
    const { quarantine, quarantineKeys, request, pool } = this.#options;
    const prompt = {
      runner: incarnationOf(entry),
      request: request.promptParts.at(-1)?.id ?? request.id,
      parts: quarantineKeys,
    };
    if (outcome.kind === 'broken' && outcome.isConnectionLost) {
      const hasResponded = this.#respondingSince !== undefined;
      const aliveAt = pool.lastProgressAt(entry);
      quarantine.recordInterrupted({ ...prompt, hasResponded, sentAt, aliveAt });
    }
    if (outcome.kind === 'relayed' || outcome.kind === 'answered') {
      // A failure proves nothing of the prompt, but the request has not ended its runner.
      const isFailure =
        outcome.kind === 'answered' && outcome.response.head.status >= FIRST_CLIENT_ERROR;
      const parts = isFailure ? prompt.parts.filter(isRepeatKey) : prompt.parts;
      const isFramed = outcome.transfer.framing !== 'connection';
      quarantine.recordEnded({ ...prompt, parts, isFramed });
    }
    if (outcome.kind === 'unsent') quarantine.recordUnreachable(prompt.runner);
  }

  /** Compares the versions of a service during a roll-out. */
  #recordForRollout(
    { entry, expectedMs }: Pick<ChosenRunner, 'entry' | 'expectedMs'>,
    kind: 'success' | 'failure',
    tookMs: number,
  ): void {
    const { rollouts, route, service, loadTracker } = this.#options;
    const slots = service.engine?.slots ?? entry.slots;
    rollouts.recordOutcome(entry, {
      route: route.name,
      load: loadTracker.workAt(entry.id).requests / Math.max(1, slots),
      kind,
      ...(kind === 'success'
        ? { latencyRatio: tookMs / Math.max(MIN_EXPECTED_MS, expectedMs) }
        : {}),
    });
  }

  #countTransfer(outcome: AttemptOutcome): void {
    const transfer = 'transfer' in outcome ? outcome.transfer : undefined;
    if (!transfer) return;
    const { framing, connection, partialEventBytes = 0 } = transfer;
    this.#options.metrics.count('responses', {
      framing,
      connection,
      partialEvent: String(partialEventBytes > 0),
      outcome: outcome.kind,
    });
  }

  /** Records that a runner started executing the request; usage is counted only once. */
  #recordStart(tookMs: number): void {
    this.#mayHaveRun = true;
    if (this.#isUsageCounted) return;
    this.#isUsageCounted = true;
    const { team, usage, disciplinedClock, metrics, route, clock } = this.#options;
    const startedAt = this.#options.service.engine
      ? disciplinedClock.now()
      : disciplinedClock.now() - tookMs;
    if (team) usage.recordStart(team.name, startedAt);
    metrics.recordLatency(team?.name ?? '', route.name, clock.monotonic() - this.#arrivedAt);
  }

  #isRepeatable(): boolean {
    const { kind, isResumable } = this.#options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  /**
   * A runner that sends nothing on any connection is considered dead sooner than a single silent
   * connection of a runner that serves other requests, where the request may only be queued.
   */
  #isTooSilent(silentMs: number, runnerSilentMs: number, hasFirstEvent: boolean): boolean {
    const limitMs = this.#silenceLimitMs(hasFirstEvent);
    return runnerSilentMs >= limitMs || silentMs >= limitMs * CONNECTION_SILENCE_FACTOR;
  }

  #silenceLimitMs(hasFirstEvent: boolean): number {
    const { maxGapMs, latencyTargetMs } = this.#options.route;
    const limitMs = hasFirstEvent
      ? maxGapMs * STREAM_SILENCE_FACTOR
      : latencyTargetMs * FIRST_BYTE_SILENCE_FACTOR;
    return Math.max(MIN_SILENCE_MS, limitMs);
  }

  #canRetryElsewhere(): boolean {
    const { route, retryBudget, service, clock, channel } = this.#options;
    const now = clock.monotonic();
    return (
      channel.canContinue &&
      this.#sends < route.maxAttempts &&
      this.#deadlineAt - now > MIN_RETRY_MS &&
      this.#chooseRunner() !== undefined &&
      retryBudget.canSpend({ endpoint: service.name, class: 'interactive' }, now)
    );
  }

  #chooseRunner(): ChosenRunner | undefined {
    const { service, directory, random, failureDomain } = this.#options;
    const candidates = this.#candidates();
    if (service.engine) return this.#chooseEngine(candidates);
    const id = placeApplicationRequest(failureDomain, candidates, random);
    const entry = id === undefined ? undefined : directory.find(id);
    return entry && { entry, expectedMs: FIXED_OVERHEAD_MS, prefillTokens: 0 };
  }

  /** A request that a roll-out gives to the target version is not sent there again after a failure. */
  #candidates(): readonly PlacementCandidate[] {
    const { pool, service, rollouts, directory } = this.#options;
    const candidatesOf = (isTarget: boolean): readonly PlacementCandidate[] =>
      pool.candidates(
        service,
        (entry) => !this.#tried.has(entry.id) && rollouts.accepts(entry, isTarget),
      );
    const hasOther = directory
      .ofService(service.name)
      .some((entry) => rollouts.accepts(entry, false));
    if (!hasOther) return candidatesOf(true);
    const target = this.#goesToTarget && this.#tried.size === 0 ? candidatesOf(true) : [];
    return target.length > 0 ? target : candidatesOf(false);
  }

  #chooseEngine(candidates: readonly PlacementCandidate[]): ChosenRunner | undefined {
    const { directory, random, sessions, clock } = this.#options;
    const lastRunner = sessions.find(this.#placement.session, clock.monotonic());
    const request = lastRunner === undefined ? this.#placement : { ...this.#placement, lastRunner };
    const placement = placeModelRequest(request, candidates, random);
    const entry = placement && directory.find(placement.id);
    if (!entry) return undefined;
    return { entry, expectedMs: placement.firstTokenMs, prefillTokens: placement.prefillTokens };
  }

  #timeOut(): void {
    if (this.#isFinished) return;
    const { channel, request, log, metrics, route } = this.#options;
    this.#isFinished = true;
    const failure = new Refusal('time-out', { status: HTTP_GATEWAY_TIMEOUT });
    metrics.count('refusals', { cause: failure.code });
    log.notable('request-timed-out', {
      request: request.id,
      route: route.name,
      sends: this.#sends,
      hasBegun: channel.hasBegun,
      afterMs: Math.round(this.#options.clock.monotonic() - this.#arrivedAt),
    });
    this.#attempt?.abort({ kind: 'ended' });
    channel.fail(failure, request.id);
  }

  #cancel(reason: string): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    const { request, log, metrics, route } = this.#options;
    metrics.count('left', { reason });
    log.routine('request-left', { request: request.id, route: route.name, reason });
    this.#attempt?.abort({ kind: 'ended' });
  }

  #logServed(entry: RunnerEntry, outcome: AttemptOutcome): void {
    this.#isFinished = true;
    const { request, route, team, log, clock } = this.#options;
    const status = outcome.kind === 'answered' ? outcome.response.head.status : HTTP_OK;
    const fields = {
      request: request.id,
      route: route.name,
      team: team?.name,
      runner: entry.id,
      status,
      sends: this.#sends,
      afterMs: Math.round(clock.monotonic() - this.#arrivedAt),
      ...('transfer' in outcome ? outcome.transfer : undefined),
    };
    if (status >= FIRST_SERVER_ERROR) log.notable('request-served', fields);
    else log.routine('request-served', fields);
  }
}
