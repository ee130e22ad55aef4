import type { Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import type { HomeRegions, PlacementRequest } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ChosenRunner } from '../types/chosen-runner.ts';
import type { PassedRequest } from '../types/passed-request.ts';
import type { ReceivedAnswer } from '../types/received-answer.ts';
import type { Silence } from '../types/silence.ts';
import { ABORT_REASONS } from '../utils/abort-reasons.ts';
import { CompletionQueue } from '../utils/completion-queue.ts';
import { isFaultySilence } from '../utils/is-faulty-silence.ts';
import { isRepeatable } from '../utils/is-repeatable.ts';
import { MAX_UNSENT } from '../utils/max-unsent.ts';
import { nextStep } from '../utils/next-step.ts';
import { placementRequestOf } from '../utils/placement-request-of.ts';
import { TriedRunners } from '../utils/tried-runners.ts';
import type { CallerChannel } from './caller-channel.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { GateEntry } from './gate-entry.ts';
import { MonitoredAttempt } from './monitored-attempt.ts';
import type { RequestGates } from './request-gates.ts';
import { RunnerRefusals } from './runner-refusals.ts';
import { RunnerSelection } from './runner-selection.ts';

interface ForwardedRequestOptions extends ForwarderOptions {
  readonly gates: RequestGates;
  readonly request: CallerRequest;
  readonly channel: CallerChannel;
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  /** Regions in which the request may be served. */
  readonly home: HomeRegions;
  /** Shared only by repeats of the request. */
  readonly fingerprint: string;
  /** Keys under which the request may be found to crash runners. */
  readonly quarantineKeys: readonly string[];
  /** What the node that passed the request on has done about it; undefined for a caller's request. */
  readonly passed?: PassedRequest;
  /** Another node may serve the request if this one cannot. */
  readonly mayPassOn: () => boolean;
  /** Waits until peers have told whether they reach runners that this node does not. */
  readonly hasLostLinks: () => Promise<boolean>;
}

interface EndedAttempt {
  readonly attempt: MonitoredAttempt;
  readonly outcome: AttemptOutcome;
}

const SILENT_RUNNERS: ReadonlySet<Silence> = new Set(['runner', 'runner-for-long']);
const HTTP_OK = 200;
const FIRST_SERVER_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
/** Minimum remaining time for a retry, in milliseconds: a round trip and a short response. */
const MIN_RETRY_MS = 50;

/** A request in progress: runs attempts at runners until there is a final response. */
export class ForwardedRequest {
  readonly #options: ForwardedRequestOptions;
  readonly #placement: PlacementRequest;
  readonly #arrivedAt: number;
  readonly #deadlineAt: number;
  readonly #tried = new TriedRunners();
  readonly #selection: RunnerSelection;
  readonly #gateEntry: GateEntry;
  readonly #refusals: RunnerRefusals;
  /** Attempts in progress; more than one while a runner is silent, the newest last. */
  readonly #attempts = new Set<MonitoredAttempt>();
  /** Attempt at whose runner the session of the request is recorded. */
  #sessionAt: MonitoredAttempt | undefined;
  readonly #ended = new CompletionQueue<EndedAttempt>();
  #sends: number;
  #mayHaveRun = false;
  #isUsageCounted: boolean;
  /** A retry was taken from the budget and has not reached a runner. */
  #hasTakenRetry = false;
  /** Response of a runner that has failed, sent unless another attempt brings a better one. */
  #failedResponse: ReceivedAnswer | undefined;
  #isFinished = false;
  #isAtPeer = false;
  /** It was answered because the node closes. */
  #isStopped = false;

  constructor(options: ForwardedRequestOptions) {
    this.#options = options;
    const { request, route, clock, failureDomain, passed } = options;
    this.#sends = passed?.sends ?? 0;
    this.#isUsageCounted = passed?.isUsageCounted ?? false;
    this.#placement = placementRequestOf(
      request,
      failureDomain,
      options.pool.prefillRate(options.service.name).msPerToken,
    );
    this.#selection = new RunnerSelection({
      ...options,
      placement: this.#placement,
      tried: this.#tried,
      isRepeatable: this.isRepeatable,
    });
    this.#arrivedAt = clock.monotonic();
    this.#deadlineAt = this.#arrivedAt + Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
    const timed = { ...options, arrivedAt: this.#arrivedAt, deadlineAt: this.#deadlineAt };
    this.#gateEntry = new GateEntry({
      ...timed,
      placement: this.#placement,
      selection: this.#selection,
    });
    this.#refusals = new RunnerRefusals({ ...timed, tried: this.#tried });
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
      await this.#attemptUntilDone(await this.#gateEntry.admit());
    } finally {
      clearTimeout(timer);
      this.#gateEntry.close();
      // After an unexpected error nothing else would end those that are left.
      this.#abortAttempts({ kind: 'ended' });
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
    if (this.#isStopped) return false;
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

  /**
   * Tries a request that may be repeated at another runner, too, when its runner has been silent for too
   * long; whichever responds first goes on. Called several times a second.
   */
  checkSilence(): void {
    const attempt = [...this.#attempts].at(-1);
    if (!attempt || this.#isFinished || !this.isRepeatable) return;
    const { silence, entry } = attempt;
    if (silence === 'none') return;
    const chosen = this.#takeAlternative(silence);
    if (chosen) {
      if (SILENT_RUNNERS.has(silence))
        this.#options.pool.markUnreachable(entry, ABORT_REASONS.silent);
      this.#logAlternative(attempt, chosen);
      this.#start(chosen);
      return;
    }
    if (!this.#takePeer()) return;
    this.#abortAttempts({ kind: 'broken', reason: ABORT_REASONS.silent, isConnectionLost: false });
  }

  /** Ends attempts without a response if the prompt must not be sent to runners. */
  stopIfHeld(): void {
    if (this.#isFinished || !this.#isHeld()) return;
    for (const attempt of this.#attempts) {
      if (attempt.respondingMs !== undefined) continue;
      attempt.abort({ kind: 'broken', reason: ABORT_REASONS.held, isConnectionLost: false });
    }
  }

  /** Runs `passOn`, during which a peer may run the request. */
  async runAtPeer(passOn: () => Promise<void>): Promise<void> {
    this.#isAtPeer = true;
    try {
      await passOn();
    } finally {
      this.#isAtPeer = false;
    }
  }

  /** Answers the request because the node closes. */
  stop(): void {
    this.#isStopped = true;
    const mayHaveRun = this.#mayHaveRun || this.#isAtPeer || this.#sends > 0;
    const failure = mayHaveRun
      ? new Refusal('node-closed', { status: HTTP_BAD_GATEWAY })
      : new Refusal('node-stopping', { status: HTTP_UNAVAILABLE });
    this.#endNow('request-stopped', failure);
  }

  /** Takes a retry from the budget for a peer. */
  takeRetry(): boolean {
    const isTaken = this.#takeBudget();
    this.#hasTakenRetry = false;
    return isTaken;
  }

  #isHeld(): boolean {
    const { quarantine, quarantineKeys } = this.#options;
    return quarantine.isHeld(quarantineKeys);
  }

  async #attemptUntilDone(admitted: ChosenRunner | undefined): Promise<void> {
    let first = admitted;
    for (;;) {
      if (this.#attempts.size === 0) {
        const chosen = first ?? (await this.#chooseNext());
        first = undefined;
        if (this.#isFinished || (!chosen && this.#respondFailed())) return;
        if (!this.#start(this.#checkChosen(chosen))) return;
      }
      const { attempt, outcome } = await this.#ended.next();
      if (!this.#attempts.delete(attempt)) continue;
      this.#recordOutcome(outcome, attempt);
      if (outcome.kind === 'ended') this.#timeOut();
      if (this.#isFinished) return;
      if (this.#handleOutcome(outcome, attempt)) return;
    }
  }

  /**
   * Chooses where to go on. Before an open connection is used because none can be opened, a peer that
   * reaches the runners goes first: what has cut a connection may have cut the open ones without a sign.
   */
  async #chooseNext(): Promise<ChosenRunner | undefined> {
    const hasOpen = this.#selection.chooseOpen() !== undefined;
    const mayConnect = !hasOpen || this.#tried.unsent < MAX_UNSENT;
    const chosen = mayConnect ? this.#selection.choose() : undefined;
    if (chosen || !hasOpen) return chosen;
    if (this.canBePassedOn() && (await this.#options.hasLostLinks())) return undefined;
    return this.#selection.chooseOpen();
  }

  #checkChosen(chosen: ChosenRunner | undefined): ChosenRunner {
    if (chosen && !this.#isHeld()) return chosen;
    if (this.#mayHaveRun) this.#fail();
    return this.#refuse(this.#refusals.causeWithoutRunner(this.#sends));
  }

  #handleOutcome(outcome: AttemptOutcome, attempt: MonitoredAttempt): boolean {
    const { route, channel, clock, log, request } = this.#options;
    const { entry } = attempt;
    const now = clock.monotonic();
    const isServed =
      outcome.kind === 'relayed' ||
      (outcome.kind === 'answered' &&
        !channel.hasBegun &&
        outcome.response.head.status < FIRST_SERVER_ERROR);
    const hasOpen = !isServed && this.#selection.chooseOpen() !== undefined;
    const step = nextStep(outcome, {
      route,
      sends: this.#sends,
      unsent: this.#tried.unsent,
      mayHaveRun: this.#mayHaveRun,
      hasBegun: channel.hasBegun,
      canContinue: channel.canContinue,
      canRetry:
        !isServed &&
        !this.#isHeld() &&
        this.#deadlineAt - now > MIN_RETRY_MS &&
        (hasOpen || this.#selection.choose() !== undefined),
      hasOther: this.#attempts.size > 0,
      hasOpen,
      takeBudget: () => this.#takeBudget(),
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
        ...(outcome.kind === 'broken' ? this.#interruptionInputs(attempt) : undefined),
      });
    }
    switch (step) {
      case 'retry':
      case 'wait':
        if (outcome.kind === 'answered') this.#failedResponse = { entry, outcome };
        return false;
      case 'done':
      case 'answer':
        this.#supersede(attempt);
        if (outcome.kind === 'answered') return this.#respond({ entry, outcome }) || this.#fail();
        this.#logServed(entry, outcome);
        return true;
      case 'refuse':
        return this.#refuse(outcome.kind === 'unsent' ? 'runner-unreachable' : 'runner-full');
      case 'fail':
        return this.#respondFailed() || this.#fail();
    }
  }

  /** Sends the response of a runner that has failed, if there is one and nothing has been sent. */
  #respondFailed(): boolean {
    if (!this.#failedResponse || this.#options.channel.hasBegun) return false;
    return this.#respond(this.#failedResponse);
  }

  /** Returns false if the response could not be written. */
  #respond({ entry, outcome }: ReceivedAnswer): boolean {
    if (!this.#options.channel.respond(outcome.response)) return false;
    this.#logServed(entry, outcome);
    return true;
  }

  /** What is needed to tell a request that ends its runner from a runner that ends under its load. */
  #interruptionInputs({
    entry,
    respondingMs,
  }: MonitoredAttempt): Readonly<Record<string, string | number | undefined>> {
    const { requests, kvTokens } = this.#options.loadTracker.workAt(entry.id);
    return {
      fingerprint: this.#options.fingerprint,
      parts: this.#options.request.promptParts.map((part) => part.id).join(','),
      respondingMs: respondingMs === undefined ? undefined : Math.round(respondingMs),
      otherRequests: requests,
      otherKvTokens: Math.round(kvTokens),
    };
  }

  /** Rejects the request, which no runner has run. */
  #refuse(cause: 'runner-full' | 'runner-unreachable' | 'no-runner'): never {
    throw this.#refusals.of(cause);
  }

  #fail(): never {
    this.#isFinished = true;
    const inputs = { ...this.#refusals.inputs, reason: this.#options.channel.fault };
    throw new Refusal('runner-broken', { status: HTTP_BAD_GATEWAY, inputs });
  }

  /** Starts an attempt; returns false if the deadline has passed. */
  #start(chosen: ChosenRunner): boolean {
    const { remainingMs } = this;
    if (remainingMs <= 0) {
      this.#timeOut();
      return false;
    }
    this.#sends += 1;
    this.#hasTakenRetry = false;
    const attempt = new MonitoredAttempt({
      ...this.#options,
      placement: this.#placement,
      chosen,
      remainingMs,
      enginePriority: this.#gateEntry.enginePriority(this.#options.channel.hasBegun),
      needsNewConnection: this.#tried.recordStart(chosen),
      hasOther: () => this.#attempts.size > 1,
      onBytes: (responding) => {
        this.#supersede(responding);
      },
      onFirstEvent: (tookMs) => {
        this.#recordStart(tookMs);
      },
    });
    this.#attempts.add(attempt);
    this.#sessionAt = attempt;
    this.#ended.add(attempt.outcome.then((outcome) => ({ attempt, outcome })));
    return true;
  }

  /** Ends all attempts but the one that responds. */
  #supersede(responding: MonitoredAttempt): void {
    if (responding !== this.#sessionAt) responding.recordSession();
    this.#sessionAt = responding;
    for (const attempt of this.#attempts) {
      if (attempt === responding) continue;
      this.#attempts.delete(attempt);
      this.#mayHaveRun = true;
      attempt.supersede();
    }
  }

  #abortAttempts(outcome: AttemptOutcome): void {
    for (const attempt of this.#attempts) attempt.abort(outcome);
  }

  #recordOutcome(outcome: AttemptOutcome, { entry, tookMs }: MonitoredAttempt): void {
    this.#tried.recordOutcome(entry.id, outcome);
    switch (outcome.kind) {
      case 'unsent':
        this.#sends -= 1;
        this.#hasTakenRetry = this.#sends > 0;
        return;
      case 'refused':
        return;
      case 'answered':
      case 'relayed':
        this.#recordStart(tookMs);
        return;
      case 'broken':
        this.#mayHaveRun = true;
        return;
      case 'ended':
        this.#mayHaveRun = true;
    }
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
    return isRepeatable(this.#options.route);
  }

  /** A runner to try besides a silent one, with the retry taken for it; nothing is given up for it. */
  #takeAlternative(silence: Silence): ChosenRunner | undefined {
    const { route, channel, pool } = this.#options;
    if (!channel.canContinue || this.#sends >= route.maxAttempts) return undefined;
    if (this.#isHeld() || this.remainingMs <= MIN_RETRY_MS) return undefined;
    const isAllowed = (entry: RunnerEntry): boolean =>
      isFaultySilence(silence) || !pool.links.isSuspect(entry);
    const chosen = this.#selection.choose(isAllowed);
    return chosen && this.#takeBudget() ? chosen : undefined;
  }

  /**
   * The attempts have nothing to expect, and a peer reaches runners that this node has lost its links to;
   * the retry there is taken.
   */
  #takePeer(): boolean {
    const { pool, service } = this.#options;
    const isHopeless = [...this.#attempts].every(({ silence, entry }) => {
      const isSound = silence !== 'link' && !isFaultySilence(silence);
      return !isSound && pool.links.isLost(entry);
    });
    if (!isHopeless || !pool.hasOwnFault(service.name) || !this.canBePassedOn()) return false;
    return this.#takeBudget();
  }

  /** Takes a retry from the budget, unless one has been taken for an attempt that was not sent. */
  #takeBudget(): boolean {
    const { retryBudget, service, clock } = this.#options;
    const endpoint = { endpoint: service.name, class: 'interactive' } as const;
    this.#hasTakenRetry ||= retryBudget.trySpend(endpoint, clock.monotonic());
    return this.#hasTakenRetry;
  }

  #logAlternative({ entry, silence, tookMs }: MonitoredAttempt, chosen: ChosenRunner): void {
    const { request, route, channel, log } = this.#options;
    log.notable('attempt-added', {
      request: request.id,
      route: route.name,
      runner: entry.id,
      silent: silence,
      alternative: chosen.entry.id,
      sends: this.#sends,
      hasBegun: channel.hasBegun,
      afterMs: Math.round(tookMs),
    });
  }

  #timeOut(): void {
    this.#endNow('request-timed-out', new Refusal('time-out', { status: HTTP_GATEWAY_TIMEOUT }));
  }

  /** Ends the request before its attempts have ended. */
  #endNow(event: string, failure: Refusal): void {
    const { channel, request, log, metrics, route } = this.#options;
    if (channel.isOver) return;
    if (this.#respondFailed()) {
      this.#abortAttempts({ kind: 'ended' });
      return;
    }
    this.#isFinished = true;
    this.#gateEntry.close();
    metrics.count('refusals', { cause: failure.code });
    log.notable(event, {
      request: request.id,
      route: route.name,
      sends: this.#sends,
      hasBegun: channel.hasBegun,
      afterMs: Math.round(this.#options.clock.monotonic() - this.#arrivedAt),
    });
    this.#abortAttempts({ kind: 'ended' });
    channel.fail(failure, request.id);
  }

  #cancel(reason: string): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#gateEntry.close();
    const { request, log, metrics, route } = this.#options;
    metrics.count('left', { reason });
    log.routine('request-left', { request: request.id, route: route.name, reason });
    this.#abortAttempts({ kind: 'ended' });
  }

  #logServed(entry: RunnerEntry, outcome: AttemptOutcome): void {
    this.#isFinished = true;
    const { request, route, team, log, clock, responseTimes } = this.#options;
    responseTimes.record(route.name, clock.monotonic() - this.#arrivedAt);
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
