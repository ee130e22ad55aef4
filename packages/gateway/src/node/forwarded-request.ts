import type { Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import { placeApplicationRequest, placeModelRequest } from '@ragwortrudder/routing';
import type { PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { PassedRequest } from '../types/passed-request.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import { ABORT_REASONS } from '../utils/abort-reasons.ts';
import { enginePriority } from '../utils/engine-priority.ts';
import { FIXED_OVERHEAD_MS } from '../utils/fixed-overhead-ms.ts';
import { nextStep } from '../utils/next-step.ts';
import { placementRequestOf } from '../utils/placement-request-of.ts';
import { AttemptEvidence } from './attempt-evidence.ts';
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
  /** What the node that passed the request on has done about it; undefined for a caller's request. */
  readonly passed?: PassedRequest;
  /** Another node may serve the request if this one cannot. */
  readonly mayPassOn: () => boolean;
}

interface ChosenRunner {
  readonly entry: RunnerEntry;
  /** Expected time to the first token, in milliseconds, or 0 without an estimate. */
  readonly expectedMs: number;
  readonly prefillTokens: number;
}

const HTTP_OK = 200;
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
 * Lower bound for the silence after which a request is retried elsewhere, in milliseconds,
 * regardless of the latency target.
 */
const MIN_SILENCE_MS = 700;
/** Silence of a runner after which a request is retried elsewhere when the link to it is lost, in milliseconds. */
const LOST_LINK_SILENCE_MS = 300;
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
  readonly #evidence: AttemptEvidence;
  #sends: number;
  #unsent = 0;
  #mayHaveRun = false;
  #isUsageCounted: boolean;
  #isFinished = false;

  constructor(options: ForwardedRequestOptions) {
    this.#options = options;
    const { request, route, clock, failureDomain, passed } = options;
    this.#evidence = new AttemptEvidence(options);
    this.#sends = passed?.sends ?? 0;
    this.#isUsageCounted = passed?.isUsageCounted ?? false;
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
    const { channel, route } = this.#options;
    const timer = setTimeout(() => {
      this.#timeOut();
    }, this.#deadlineAt - this.#arrivedAt);
    channel.onDisconnect(() => {
      this.#cancel('caller-left');
    });
    try {
      await this.#attemptUntilDone();
    } finally {
      clearTimeout(timer);
    }
    this.#options.metrics.count('requests', { route: route.name });
  }

  /** A runner may have begun to execute the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** What a peer has to know to go on with the request. */
  get progress(): Pick<PassedRequest, 'sends' | 'isUsageCounted' | 'lastRunner'> {
    const { sessions, clock } = this.#options;
    const lastRunner = sessions.find(this.#placement.session, clock.monotonic());
    return {
      sends: this.#sends,
      isUsageCounted: this.#isUsageCounted,
      ...(lastRunner === undefined ? {} : { lastRunner }),
    };
  }

  /** Time until the deadline of the request, in milliseconds. */
  get remainingMs(): number {
    return this.#deadlineAt - this.#options.clock.monotonic();
  }

  /** The request may be sent again: it has not run, or may be repeated, and there is something left to do. */
  canBePassedOn(): boolean {
    const { channel, route, mayPassOn } = this.#options;
    if (this.#mayHaveRun && !this.isRepeatable) return false;
    if (this.#sends >= route.maxAttempts) return false;
    return (
      channel.canContinue &&
      !channel.isDisconnected &&
      !this.#isHeld() &&
      this.remainingMs > MIN_RETRY_MS &&
      mayPassOn()
    );
  }

  /** Checks whether the current runner has been silent for too long; called several times a second. */
  checkSilence(): void {
    this.#checkSilence?.();
  }

  /** Ends the current attempt if its prompt must not be sent to runners and it has no response yet. */
  stopIfHeld(): void {
    if (this.#isFinished || this.#respondingSince !== undefined || !this.#isHeld()) return;
    this.#attempt?.abort({ kind: 'broken', reason: ABORT_REASONS.held, isConnectionLost: false });
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
        this.#refuse(this.#causeWithoutRunner());
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
        return this.#refuse(outcome.kind === 'unsent' ? 'runner-unreachable' : 'runner-full');
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

  #causeWithoutRunner(): 'runner-full' | 'runner-unreachable' | 'no-runner' {
    const { runners, lost } = this.#options.pool.reachOf(this.#options.service.name);
    if (lost.size > 0 && lost.size === runners.length) return 'runner-unreachable';
    return this.#sends > 0 ? 'runner-full' : 'no-runner';
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
      runnersResting: pool.countResting(listed),
      runnersDraining: listed.filter(({ isDraining }) => isDraining).length,
      runnersUsable: pool.candidates(service).length,
      runnersLost: pool.reachOf(service.name).lost.size,
      runnersTried: this.#tried.size,
      afterMs: Math.round(clock.monotonic() - this.#arrivedAt),
    };
  }

  /** Rejects the request, which no runner has run. */
  #refuse(cause: 'runner-full' | 'runner-unreachable' | 'no-runner'): never {
    const { pool, service } = this.#options;
    throw new Refusal(cause, {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: pool.restMs(service.name) ?? SATURATED_RETRY_MS,
      inputs: this.#refusalInputs(),
    });
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
    const { isRepeatable } = this;
    let progressAt = sentAt;
    let hasResponded = false;
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
      this.#evidence.recordForRollout(chosen, 'success', firstEventMs);
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
      onHead: ({ status, load, requestsPerSecond, isLeaving, retryAfterMs = 0 }) => {
        if (status === HTTP_MISDIRECTED) return;
        if (status === HTTP_UNAVAILABLE) pool.recordRest(entry, retryAfterMs);
        else pool.recordTaken(entry);
        if (isLeaving) pool.recordLeaving(entry);
        pool.recordStatedLimit(entry, requestsPerSecond);
        if (load) loadTracker.setReportedLoad(entry.id, load);
      },
      onProgress: () => {
        progressAt = clock.monotonic();
        hasResponded = true;
        this.#respondingSince ??= progressAt;
        this.#evidence.recordProof(progressAt - this.#respondingSince);
        pool.recordProgress(entry);
      },
    });
    this.#attempt = attempt;
    this.#respondingSince = undefined;
    this.#evidence.beginAttempt();
    this.#checkSilence = () => {
      const silentMs = clock.monotonic() - progressAt;
      const runnerSilentMs = Math.min(silentMs, pool.silentMs(entry));
      if (!isRepeatable) return;
      const isCutOff = pool.links.isSilent(entry) && runnerSilentMs >= LOST_LINK_SILENCE_MS;
      if (!isCutOff && !this.#isTooSilent(silentMs, runnerSilentMs, firstEventAt !== undefined)) {
        return;
      }
      if (!this.#canRetryElsewhere(entry)) return;
      if (!isCutOff && runnerSilentMs >= this.#silenceLimitMs(firstEventAt !== undefined)) {
        pool.markUnreachable(entry, ABORT_REASONS.silent);
      }
      attempt.abort({ kind: 'broken', reason: ABORT_REASONS.silent, isConnectionLost: false });
    };
    this.#sends += 1;
    const outcome = await attempt.outcome;
    this.#checkSilence = undefined;
    loadTracker.add(entry.id, {
      requests: -1,
      prefillTokens: -remainingWork.prefillTokens,
      kvTokens: -remainingWork.kvTokens,
    });
    const tookMs = clock.monotonic() - sentAt;
    this.#recordOutcome(outcome, tookMs);
    this.#evidence.record(outcome, { ...chosen, sentAt, tookMs, hasResponded });
    this.#countTransfer(outcome);
    return outcome;
  }

  #recordOutcome(outcome: AttemptOutcome, tookMs: number): void {
    switch (outcome.kind) {
      case 'unsent':
        this.#sends -= 1;
        this.#unsent += 1;
        return;
      case 'refused':
        return;
      case 'answered':
      case 'relayed':
        this.#recordStart(tookMs);
        return;
      case 'broken':
      case 'ended':
        this.#mayHaveRun = true;
    }
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

  /** The request may run more than once. */
  get isRepeatable(): boolean {
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

  /** Another runner can be tried here, or a peer reaches runners that this node has lost its links to. */
  #canRetryElsewhere(entry: RunnerEntry): boolean {
    const { route, retryBudget, service, clock, channel, pool } = this.#options;
    const now = clock.monotonic();
    if (!retryBudget.canSpend({ endpoint: service.name, class: 'interactive' }, now)) return false;
    if (pool.links.isLost(entry) && pool.hasOwnFault(service.name) && this.canBePassedOn()) {
      return true;
    }
    return (
      channel.canContinue &&
      this.#sends < route.maxAttempts &&
      this.remainingMs > MIN_RETRY_MS &&
      this.#chooseRunner() !== undefined
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
      this.#preferLost(
        pool.candidates(service, {
          isAllowed: (entry) => !this.#tried.has(entry.id) && rollouts.accepts(entry, isTarget),
          isRepeatable: this.isRepeatable,
        }),
      );
    const hasOther = directory
      .ofService(service.name)
      .some((entry) => rollouts.accepts(entry, false));
    if (!hasOther) return candidatesOf(true);
    const target = this.#goesToTarget && this.#tried.size === 0 ? candidatesOf(true) : [];
    return target.length > 0 ? target : candidatesOf(false);
  }

  /** The node that passed a request on sends the others of its requests to the runners that it reaches. */
  #preferLost(candidates: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
    const lost = this.#options.passed?.lost;
    if (!lost) return candidates;
    const preferred = candidates.filter(({ id }) => lost.includes(id));
    return preferred.length > 0 ? preferred : candidates;
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
