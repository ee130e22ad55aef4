import type { Route, RunnerEntry, Service, Team } from '@ragwortrudder/catalog';
import { placeCall, placeRequest } from '@ragwortrudder/routing';
import type { PlacementCandidate, PlacementRequest } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { AttemptOutcome } from '../types/attempt-outcome.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { RunnerWork } from '../types/runner-work.ts';
import { enginePriority } from '../utils/engine-priority.ts';
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
  /** Returns what the request drew from the team's limit. */
  readonly giveBack: () => void;
}

interface ChosenRunner {
  readonly entry: RunnerEntry;
  /** Expected time to the first token, or 0 when nothing is expected. */
  readonly expectedMs: number;
  readonly prefillTokens: number;
}

const SILENT = 'silent';
const HTTP_OK = 200;
const FIRST_SERVER_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
/** When a caller may return to a full service, in milliseconds: a few answers later. */
const FULL_RETRY_MS = 400;
/** Time left below which a request is not sent again, in milliseconds: a round trip and a short answer. */
const MIN_RETRY_MS = 50;
/** Time that is added to the expected one before the two are compared, in milliseconds: network and scheduling. */
const FIXED_COST_MS = 60;
/** Silence of a runner after which its work is taken elsewhere, in milliseconds, whatever the target. */
const MIN_SILENCE_MS = 700;
/** Silence of a stream after which it is resumed elsewhere, as a multiple of the longest pause on time. */
const SILENT_GAPS = 3;
/** Silence of one connection, as a multiple of that of a whole runner, after which the connection is given up. */
const SILENT_CONNECTION_FACTOR = 2.5;
/** Silence before the first byte after which a request is sent elsewhere, as a multiple of the latency target. */
const SILENT_TARGETS = 1.5;

/** Prompt tokens from which on peers are told at once: a runner reads them for longer than datagrams take by far. */
const LONG_PROMPT_TOKENS = 8_000;

/** One request on its way: its attempts at runners until its final answer. */
export class ForwardedRequest {
  readonly #options: ForwardedRequestOptions;
  readonly #placement: PlacementRequest;
  readonly #arrivedAt: number;
  readonly #endsAt: number;
  readonly #tried = new Set<string>();
  #attempt: RunnerAttempt | undefined;
  /** Gives the attempt in progress up when its runner is silent for too long. */
  #watch: (() => void) | undefined;
  #sends = 0;
  #unsent = 0;
  #mayHaveRun = false;
  #hasCounted = false;
  #isOver = false;

  constructor(options: ForwardedRequestOptions) {
    this.#options = options;
    const { request, route, clock, failureDomain } = options;
    this.#placement = placementRequestOf(
      request,
      failureDomain,
      options.pool.prefillRate(options.service.name).msPerToken,
    );
    this.#arrivedAt = clock.monotonic();
    this.#endsAt = this.#arrivedAt + Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
  }

  /** Runs the request to its final answer; throws the refusal that is to be its answer. */
  async run(): Promise<void> {
    const { channel, route, service, budget, clock } = this.#options;
    const timer = setTimeout(() => {
      this.#timeOut();
    }, this.#endsAt - this.#arrivedAt);
    channel.onGone(() => {
      this.#end('caller-left');
    });
    budget.firstTry({ endpoint: service.name, class: 'interactive' }, clock.monotonic());
    try {
      await this.#attemptUntilDone();
    } finally {
      clearTimeout(timer);
      if (!this.#mayHaveRun) this.#options.giveBack();
    }
    this.#options.metrics.count('requests', { route: route.name });
  }

  /** Looks whether the runner is silent; called several times a second. */
  watch(): void {
    this.#watch?.();
  }

  async #attemptUntilDone(): Promise<void> {
    for (;;) {
      const chosen = this.#choose();
      if (!chosen) {
        if (this.#mayHaveRun) this.#fail('runner-broken', HTTP_BAD_GATEWAY);
        throw new Refusal(this.#sends > 0 ? 'runner-full' : 'no-runner', {
          status: HTTP_UNAVAILABLE,
          retryAfterMs: FULL_RETRY_MS,
          inputs: this.#inputs(),
        });
      }
      const outcome = await this.#send(chosen);
      if (this.#isOver) return;
      const isDone = this.#settle(outcome, chosen);
      if (isDone) return;
    }
  }

  #settle(outcome: AttemptOutcome, { entry }: ChosenRunner): boolean {
    const { route, channel, service, budget, clock, log, request } = this.#options;
    const now = clock.monotonic();
    const step = nextStep(outcome, {
      route,
      sends: this.#sends,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
      hasBegun: channel.hasBegun,
      canRetry: this.#endsAt - now > MIN_RETRY_MS && this.#choose() !== undefined,
      takeBudget: () => budget.trySpend({ endpoint: service.name, class: 'interactive' }, now),
    });
    if (outcome.kind !== 'relayed' && outcome.kind !== 'answered') {
      log.notable('attempt-ended', {
        request: request.id,
        route: route.name,
        runner: entry.id,
        outcome: outcome.kind,
        reason: outcome.kind === 'broken' ? outcome.reason : undefined,
        sends: this.#sends,
        step,
        afterMs: Math.round(now - this.#arrivedAt),
      });
    }
    switch (step) {
      case 'retry':
        return false;
      case 'done':
        this.#logServed(entry, HTTP_OK);
        return true;
      case 'answer':
        if (outcome.kind === 'answered') channel.answer(outcome.answer);
        this.#logServed(entry, outcome.kind === 'answered' ? outcome.answer.head.status : HTTP_OK);
        return true;
      case 'refuse':
        throw new Refusal(outcome.kind === 'unsent' ? 'runner-unreachable' : 'runner-full', {
          status: HTTP_UNAVAILABLE,
          retryAfterMs: FULL_RETRY_MS,
          inputs: this.#inputs(),
        });
      case 'fail':
        return this.#fail('runner-broken', HTTP_BAD_GATEWAY);
    }
  }

  /** What a refusal was decided on, for the log. */
  #inputs(): Readonly<Record<string, string | number | undefined>> {
    const { route, team, service, directory, pool, clock } = this.#options;
    const listed = directory.ofService(service.name);
    return {
      route: route.name,
      team: team?.name,
      service: service.name,
      runnersListed: listed.length,
      runnersDraining: listed.filter(({ isDraining }) => isDraining).length,
      runnersUsable: pool.candidates(service, new Set()).length,
      runnersTried: this.#tried.size,
      afterMs: Math.round(clock.monotonic() - this.#arrivedAt),
    };
  }

  #fail(cause: 'runner-broken' | 'time-out', status: number): never {
    this.#isOver = true;
    throw new Refusal(cause, { status, inputs: this.#inputs() });
  }

  async #send(chosen: ChosenRunner): Promise<AttemptOutcome> {
    const { request, route, team, channel, dialect, clock, pool, board } = this.#options;
    const { entry } = chosen;
    const sentAt = clock.monotonic();
    const remainingMs = this.#endsAt - sentAt;
    if (remainingMs <= 0) return { kind: 'ended' };
    this.#tried.add(entry.id);
    const work: RunnerWork = {
      requests: 1,
      prefillTokens: chosen.prefillTokens,
      kvTokens: this.#placement.ownTokens + this.#placement.sharedTokens,
    };
    let rest = work;
    const isAlone = board.workAt(entry.id).prefillTokens === 0;
    board.add(entry.id, work);
    if (work.prefillTokens >= LONG_PROMPT_TOKENS) {
      this.#options.onPrompt(entry.id, work.prefillTokens);
    }
    pool.sent(entry);
    this.#options.sessions.note(this.#placement.session, entry.id, sentAt);
    const isRepeatable = this.#isRepeatable();
    let progressAt = sentAt;
    let firstAt: number | undefined;
    const noteFirst = (): void => {
      if (firstAt !== undefined) return;
      firstAt = clock.monotonic();
      board.add(entry.id, { requests: 0, prefillTokens: -rest.prefillTokens, kvTokens: 0 });
      rest = { ...rest, prefillTokens: 0 };
      this.#began(firstAt - sentAt);
      if (isAlone) {
        pool.prefillRate(entry.service).add(chosen.prefillTokens, firstAt - sentAt);
      }
      pool.succeeded(
        entry,
        (firstAt - sentAt + FIXED_COST_MS) / (chosen.expectedMs + FIXED_COST_MS),
      );
    };
    channel.onFirstEvent(noteFirst);
    const attempt = new RunnerAttempt({
      dialect,
      agent: pool.agentOf(entry),
      request,
      order: {
        runner: entry,
        remainingMs,
        team: team?.name,
        priority: this.#options.service.engine
          ? enginePriority(team?.priority ?? route.priority)
          : undefined,
        lastEventId: channel.lastEventId ?? request.lastEventId,
      },
      ...(route.kind === 'stream' ? { sink: channel } : {}),
      onHead: ({ load }) => {
        if (load) board.setStated(entry.id, load);
      },
      onProgress: () => {
        progressAt = clock.monotonic();
        pool.progressed(entry);
      },
    });
    this.#attempt = attempt;
    this.#watch = () => {
      const silentMs = clock.monotonic() - progressAt;
      const runnerSilentMs = Math.min(silentMs, pool.silentMs(entry));
      if (!isRepeatable || !this.#isTooSilent(silentMs, runnerSilentMs, firstAt !== undefined)) {
        return;
      }
      if (!this.#canSendElsewhere()) return;
      if (runnerSilentMs >= this.#silenceLimitMs(firstAt !== undefined)) {
        pool.unreachable(entry, SILENT);
      }
      attempt.abort({ kind: 'broken', reason: SILENT });
    };
    this.#sends += 1;
    const outcome = await attempt.outcome;
    this.#watch = undefined;
    board.add(entry.id, {
      requests: -1,
      prefillTokens: -rest.prefillTokens,
      kvTokens: -rest.kvTokens,
    });
    this.#learn(outcome, chosen, clock.monotonic() - sentAt);
    return outcome;
  }

  #learn(outcome: AttemptOutcome, { entry, expectedMs }: ChosenRunner, tookMs: number): void {
    const { pool, service } = this.#options;
    switch (outcome.kind) {
      case 'unsent':
        this.#sends -= 1;
        this.#unsent += 1;
        pool.unreachable(entry, 'connection failed');
        return;
      case 'refused':
        if (outcome.isMisdirected) pool.unreachable(entry, 'another runner has the address');
        return;
      case 'answered':
        this.#began(tookMs);
        if (outcome.answer.head.status >= FIRST_SERVER_ERROR) pool.failed(entry);
        else if (!service.engine) {
          pool.succeeded(entry, (tookMs + FIXED_COST_MS) / (expectedMs + FIXED_COST_MS));
        }
        return;
      case 'broken':
        this.#mayHaveRun = true;
        if (outcome.reason !== SILENT) pool.failed(entry);
        return;
      case 'relayed':
        this.#began(tookMs);
        return;
      case 'ended':
        this.#mayHaveRun = true;
    }
  }

  /** Notes that a runner began to run the request; counts it once. */
  #began(tookMs: number): void {
    this.#mayHaveRun = true;
    if (this.#hasCounted) return;
    this.#hasCounted = true;
    const { team, usage, trueTime, metrics, route, clock } = this.#options;
    const startedAt = this.#options.service.engine ? trueTime.now() : trueTime.now() - tookMs;
    if (team) usage.began(team.name, startedAt);
    metrics.latency(team?.name ?? '', route.name, clock.monotonic() - this.#arrivedAt);
  }

  #isRepeatable(): boolean {
    const { kind, isResumable } = this.#options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  /**
   * A runner that sends nothing to anyone is taken for dead sooner than a connection of a runner that
   * works for others: there the request may only be waiting.
   */
  #isTooSilent(silentMs: number, runnerSilentMs: number, hasFirst: boolean): boolean {
    const limitMs = this.#silenceLimitMs(hasFirst);
    return runnerSilentMs >= limitMs || silentMs >= limitMs * SILENT_CONNECTION_FACTOR;
  }

  #silenceLimitMs(hasFirst: boolean): number {
    const { maxGapMs, latencyTargetMs } = this.#options.route;
    const limitMs = hasFirst ? maxGapMs * SILENT_GAPS : latencyTargetMs * SILENT_TARGETS;
    return Math.max(MIN_SILENCE_MS, limitMs);
  }

  #canSendElsewhere(): boolean {
    const { route, budget, service, clock } = this.#options;
    const now = clock.monotonic();
    return (
      this.#sends < route.maxAttempts &&
      this.#endsAt - now > MIN_RETRY_MS &&
      this.#choose() !== undefined &&
      budget.canSpend({ endpoint: service.name, class: 'interactive' }, now)
    );
  }

  #choose(): ChosenRunner | undefined {
    const { pool, service, directory, random, failureDomain } = this.#options;
    const candidates = pool.candidates(service, this.#tried);
    if (service.engine) return this.#chooseEngine(candidates);
    const id = placeCall(failureDomain, candidates, random);
    const entry = id === undefined ? undefined : directory.find(id);
    return entry && { entry, expectedMs: FIXED_COST_MS, prefillTokens: 0 };
  }

  #chooseEngine(candidates: readonly PlacementCandidate[]): ChosenRunner | undefined {
    const { directory, random, sessions, clock } = this.#options;
    const lastRunner = sessions.find(this.#placement.session, clock.monotonic());
    const request = lastRunner === undefined ? this.#placement : { ...this.#placement, lastRunner };
    const placement = placeRequest(request, candidates, random);
    const entry = placement && directory.find(placement.id);
    if (!entry) return undefined;
    return { entry, expectedMs: placement.firstTokenMs, prefillTokens: placement.prefillTokens };
  }

  #timeOut(): void {
    if (this.#isOver) return;
    const { channel, request, log, metrics, route } = this.#options;
    this.#isOver = true;
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

  #end(reason: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const { request, log, metrics, route } = this.#options;
    metrics.count('left', { reason });
    log.routine('request-left', { request: request.id, route: route.name, reason });
    this.#attempt?.abort({ kind: 'ended' });
  }

  #logServed(entry: RunnerEntry, status: number): void {
    this.#isOver = true;
    const { request, route, team, log, clock } = this.#options;
    const fields = {
      request: request.id,
      route: route.name,
      team: team?.name,
      runner: entry.id,
      status,
      sends: this.#sends,
      afterMs: Math.round(clock.monotonic() - this.#arrivedAt),
    };
    if (status >= FIRST_SERVER_ERROR) log.notable('request-served', fields);
    else log.routine('request-served', fields);
  }
}
