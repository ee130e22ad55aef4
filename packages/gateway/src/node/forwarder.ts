import { setTimeout as sleep } from 'node:timers/promises';
import { isRepeatKey } from '@ragwortrudder/admission';
import { selectService, ApiKeyIndex, RouteTable } from '@ragwortrudder/catalog';
import type { Configuration, Route, Service, Team } from '@ragwortrudder/catalog';
import { HomeRegions } from '@ragwortrudder/routing';
import { Refusal } from '../errors/refusal.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ReceivedRequest } from '../types/received-request.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { isRepeatable } from '../utils/is-repeatable.ts';
import { quarantineKeysOf } from '../utils/quarantine-keys-of.ts';
import { requestFingerprint } from '../utils/request-fingerprint.ts';
import { sharedPartsOf } from '../utils/shared-parts-of.ts';
import { costOf } from '../utils/cost-of.ts';
import { toleratedLimit } from '../utils/tolerated-limit.ts';
import type { CallerChannel } from './caller-channel.ts';
import { ForwardedRequest } from './forwarded-request.ts';
import type { PeerForwarder } from './peer-forwarder.ts';
import type { Peers } from './peers.ts';
import { RequestGates } from './request-gates.ts';

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
const REJECTING_STATUSES: ReadonlySet<number> = new Set([HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE]);
/** Retry-After of a node without a configuration, in milliseconds: the time of a store read. */
const NO_CONFIGURATION_RETRY_MS = 500;

/** Time in which peers tell whether they reach a runner that this node does not, in milliseconds. */
const VERDICT_MS = 600;
const VERDICT_POLL_MS = 20;
/** Retry-After of a request that would not be answered before the node closes, in milliseconds. */
const STOPPING_RETRY_MS = 50;
/** Requests of peers that a node takes at a time; its own callers come first. */
const MAX_PASSED_REQUESTS = 256;
/** Retry-After of a node that takes no more requests of peers, in milliseconds. */
const BUSY_RETRY_MS = 400;

interface ActiveConfiguration {
  readonly configuration: Configuration;
  readonly routes: RouteTable;
  readonly keys: ApiKeyIndex;
  readonly services: ReadonlyMap<string, Service>;
}

interface AdmittingOptions extends ForwarderOptions {
  readonly peerForwarder: PeerForwarder;
  readonly peers: Peers;
  /** No configuration is known to be newer than the active one, nor may there be one for long. */
  readonly isCurrent: () => boolean;
}

type AdmittedRequest = Pick<
  Parameters<PeerForwarder['passOn']>[0],
  'request' | 'channel' | 'route' | 'service' | 'team' | 'home'
>;

/** The node's own answer that says that the request has not run. */
function isRejection(error: unknown): boolean {
  return error instanceof Refusal && REJECTING_STATUSES.has(error.status);
}

/** Admits requests according to the active configuration and forwards them to runners. */
export class Forwarder {
  readonly #options: AdmittingOptions;
  readonly #active = new Set<ForwardedRequest>();
  readonly #gates: RequestGates;
  #activeConfiguration: ActiveConfiguration | undefined;
  /** Requests of peers in progress. */
  #passedCount = 0;

  constructor(options: AdmittingOptions) {
    this.#options = options;
    this.#gates = new RequestGates(options);
  }

  /** Requests in progress. */
  get active(): ReadonlySet<ForwardedRequest> {
    return this.#active;
  }

  /**
   * Checks all requests in progress for silent runners. A single timer of the node calls this for
   * all requests.
   */
  checkSilence(): void {
    for (const request of this.#active) request.checkSilence();
  }

  /** Answers all requests in progress because the node closes. */
  stopRequests(): void {
    for (const request of this.#active) request.stop();
  }

  /** Ends attempts whose runners have not responded to a prompt that must no longer be sent to them. */
  stopHeldRequests(): void {
    for (const request of this.#active) request.stopIfHeld();
  }

  /** Activates a configuration. */
  apply(configuration: Configuration): void {
    this.#activeConfiguration = {
      configuration,
      routes: new RouteTable(configuration),
      keys: new ApiKeyIndex(configuration),
      services: new Map(configuration.services.map((service) => [service.name, service])),
    };
    const limits = configuration.teams.flatMap(({ name, limit }) =>
      limit ? [[name, toleratedLimit(limit, this.#options.settings().quotas)] as const] : [],
    );
    this.#logOpened(this.#options.quota.setLimits(new Map(limits)));
    this.#gates.apply(configuration);
  }

  /** Serves one request; settles once the response has been handed to the channel. */
  forward(request: CallerRequest, channel: CallerChannel): Promise<void> {
    return this.#respond(request, channel, () => this.#serve(request, channel));
  }

  /** Serves a request that a peer has admitted and passed on; it is not passed on again. */
  forwardPassed(request: ReceivedRequest, channel: CallerChannel): Promise<void> {
    return this.#respond(request, channel, () => this.#servePassed(request, channel));
  }

  /** Answers a request with a refusal. */
  refuse(refusal: Refusal, request: CallerRequest, channel: CallerChannel): void {
    const { log, metrics } = this.#options;
    metrics.count('refusals', { cause: refusal.code });
    const { runnersElsewhere = 0 } = refusal.inputs;
    if (Number(runnersElsewhere) > 0) metrics.count('home_region_refusals');
    log.notable('request-refused', {
      request: request.id,
      cause: refusal.code,
      status: refusal.status,
      retryAfterMs: refusal.retryAfterMs,
      version: this.#activeConfiguration?.configuration.version,
      ...refusal.inputs,
    });
    channel.fail(refusal, request.id);
  }

  async #respond(
    request: CallerRequest,
    channel: CallerChannel,
    serve: () => Promise<void>,
  ): Promise<void> {
    try {
      await serve();
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      this.refuse(error, request, channel);
    }
  }

  async #serve(request: CallerRequest, channel: CallerChannel): Promise<void> {
    const activeConfiguration = this.#activeConfiguration;
    if (!activeConfiguration) {
      throw new Refusal('no-configuration', {
        status: HTTP_UNAVAILABLE,
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
    }
    const route = activeConfiguration.routes.find(request.host, request.path);
    if (!route) {
      const { host, path } = request;
      throw this.#denial('route-unknown', { status: HTTP_NOT_FOUND, inputs: { host, path } });
    }
    const team = this.#teamOf(request, route, activeConfiguration);
    const service = this.#serviceOf(route, activeConfiguration);
    const home = this.#homeOf(route, team);
    this.#checkGrace(request, route);
    const keys = this.#checkQuarantine(request, route, team?.name);
    const cost = this.#takeQuota(request, team);
    const { onAdmitted, retryBudget, clock, peerForwarder, quota } = this.#options;
    onAdmitted(service, request);
    retryBudget.recordFirstAttempt(
      { endpoint: service.name, class: 'interactive' },
      clock.monotonic(),
    );
    const forwarded = new ForwardedRequest({
      ...this.#options,
      gates: this.#gates,
      request,
      channel,
      route,
      service,
      team,
      home,
      ...keys,
      mayPassOn: () => peerForwarder.mayPassOn(service.name, home),
      hasLostLinks: () => this.#hasLostLinks(service),
    });
    let mayHaveRun = true;
    try {
      mayHaveRun = await this.#runOrPassOn(forwarded, {
        ...{ request, channel, route, service, team },
        home,
      });
    } catch (error) {
      mayHaveRun = forwarded.mayHaveRun || !isRejection(error);
      throw error;
    } finally {
      if (!mayHaveRun && team) quota.refund(team.name, cost);
    }
  }

  /**
   * Runs a request here; a peer runs what this node cannot send to a runner. Returns whether it may have
   * run.
   */
  async #runOrPassOn(forwarded: ForwardedRequest, request: AdmittedRequest): Promise<boolean> {
    this.#active.add(forwarded);
    try {
      if (this.#isForPeer(forwarded, request) && (await this.#offer(forwarded, request))) {
        return true;
      }
      const refusal = await this.#run(forwarded);
      if (!refusal) return forwarded.mayHaveRun;
      // A peer would decide the same about a request that has to give way to others.
      if (refusal.code === 'service-overloaded') throw refusal;
      if (!(await this.#mayPassOn(forwarded, request.service))) throw refusal;
      await this.#passOn(forwarded, request, refusal);
      return true;
    } finally {
      this.#active.delete(forwarded);
    }
  }

  /** Runs a request here; returns what its caller has to be told if that fails. */
  async #run(forwarded: ForwardedRequest): Promise<Refusal | undefined> {
    try {
      await forwarded.run();
      return undefined;
    } catch (error) {
      if (error instanceof Refusal) return error;
      throw error;
    }
  }

  /** A request that crashes runners must not crash those that only a peer reaches. */
  async #mayPassOn(forwarded: ForwardedRequest, service: Service): Promise<boolean> {
    if (!forwarded.canBePassedOn()) return false;
    if (forwarded.mayHaveRun) {
      const isOwnFault = await this.#hasLostLinks(service);
      if (!isOwnFault || !forwarded.canBePassedOn()) return false;
    }
    return forwarded.progress.sends === 0 || forwarded.takeRetry();
  }

  /**
   * The runners that this node still reaches get their usual share of its requests, and peers send the
   * others to the runners that it has lost.
   */
  #isForPeer(forwarded: ForwardedRequest, { service, home }: AdmittedRequest): boolean {
    const { name } = service;
    const { pool, random } = this.#options;
    if (!pool.hasOwnFault(name)) return false;
    const { lastRunner } = forwarded.progress;
    const { runners, lost, lostIds } = pool.reachOf(name, home);
    const isForLost =
      lastRunner === undefined
        ? random.next() * runners.length < lost.size
        : lostIds.has(lastRunner);
    return isForLost && forwarded.canBePassedOn();
  }

  /** Offers a request to peers; returns false if none of them reached a runner. */
  async #offer(forwarded: ForwardedRequest, request: AdmittedRequest): Promise<boolean> {
    const notTaken = new Refusal('runner-unreachable', { status: HTTP_UNAVAILABLE });
    try {
      await this.#passOn(forwarded, request, notTaken);
      return true;
    } catch (error) {
      if (error !== notTaken) throw error;
      return false;
    }
  }

  #passOn(forwarded: ForwardedRequest, request: AdmittedRequest, refusal: Refusal): Promise<void> {
    return forwarded.runAtPeer(() =>
      this.#options.peerForwarder.passOn({
        ...request,
        progress: forwarded.progress,
        remainingMs: forwarded.remainingMs,
        isRepeatable: forwarded.isRepeatable,
        mayHaveRun: forwarded.mayHaveRun,
        refusal,
      }),
    );
  }

  /** Waits until peers have told whether they reach the runners that this node does not. */
  async #hasLostLinks({ name }: Service): Promise<boolean> {
    const { pool, clock } = this.#options;
    const until = clock.monotonic() + VERDICT_MS;
    for (;;) {
      if (pool.hasOwnFault(name)) return true;
      if (clock.monotonic() > until) return false;
      await sleep(VERDICT_POLL_MS);
    }
  }

  async #servePassed(request: ReceivedRequest, channel: CallerChannel): Promise<void> {
    const { route, service, team, lastRunner } = request.passed;
    if (this.#passedCount >= MAX_PASSED_REQUESTS) {
      throw new Refusal('node-busy', {
        status: HTTP_UNAVAILABLE,
        retryAfterMs: BUSY_RETRY_MS,
        inputs: { passed: this.#passedCount },
      });
    }
    const keys = this.#checkQuarantine(request, route, team?.name);
    const { sessions, clock } = this.#options;
    const session = sharedPartsOf(request).at(-1);
    if (lastRunner !== undefined && session !== undefined) {
      sessions.record(session, lastRunner, clock.monotonic());
    }
    const forwarded = new ForwardedRequest({
      ...this.#options,
      gates: this.#gates,
      request,
      channel,
      route,
      service,
      team: team && { ...team, apiKeys: [] },
      home: this.#homeOf(route, team),
      ...keys,
      passed: request.passed,
      mayPassOn: () => false,
      hasLostLinks: () => Promise.resolve(false),
    });
    this.#active.add(forwarded);
    this.#passedCount += 1;
    try {
      await forwarded.run();
    } finally {
      this.#active.delete(forwarded);
      this.#passedCount -= 1;
    }
  }

  #homeOf(
    { allowedRegions: ofRoute = [] }: Pick<Route, 'allowedRegions'>,
    team: Pick<Team, 'allowedRegions'> | undefined,
  ): HomeRegions {
    const { settings, failureDomain } = this.#options;
    const { region, domainRegions = {} } = settings();
    const lists = [ofRoute, team?.allowedRegions ?? []];
    return new HomeRegions({
      lists,
      domainRegions,
      callerRegion: region ?? domainRegions[failureDomain],
    });
  }

  #teamOf(
    request: CallerRequest,
    route: Route,
    activeConfiguration: ActiveConfiguration,
  ): Team | undefined {
    if (route.isPublic || !activeConfiguration.configuration.requiresKey) return undefined;
    const team =
      request.apiKey === undefined ? undefined : activeConfiguration.keys.find(request.apiKey);
    if (!team) {
      const inputs = { route: route.name };
      throw this.#denial('key-unknown', { status: HTTP_UNAUTHORIZED, inputs });
    }
    return team;
  }

  /** Denies what the active configuration lacks; where a newer one may have it, the caller may come back. */
  #denial(
    cause: 'route-unknown' | 'key-unknown',
    denial: Pick<Refusal, 'status' | 'inputs'>,
  ): Refusal {
    if (this.#options.isCurrent()) return new Refusal(cause, denial);
    return new Refusal('configuration-unconfirmed', {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      inputs: { ...denial.inputs, cause },
    });
  }

  #serviceOf(route: Route, activeConfiguration: ActiveConfiguration): Service {
    const name = selectService(route.targets, this.#options.random.next());
    const service = name === undefined ? undefined : activeConfiguration.services.get(name);
    if (!service) throw new Refusal('no-runner', { status: HTTP_UNAVAILABLE });
    return service;
  }

  /**
   * Rejects a request that has come since the node is stopping, and that it might not answer before it
   * closes. One that may run only once is taken only if even its time-out leaves time for an answer.
   */
  #checkGrace(request: CallerRequest, route: Route): void {
    const { responseTimes } = this.#options;
    const grace = this.#options.grace();
    if (!grace || (request.waitedMs ?? 0) > grace.passedMs) return;
    const { remainingMs } = grace;
    const longestMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity);
    const expectedMs = isRepeatable(route) ? responseTimes.expectedMs(route.name) : undefined;
    const neededMs = Math.min(longestMs, expectedMs ?? longestMs);
    if (neededMs <= remainingMs) return;
    throw new Refusal('node-stopping', {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: STOPPING_RETRY_MS,
      inputs: {
        route: route.name,
        neededMs: Math.round(neededMs),
        remainingMs: Math.round(remainingMs),
      },
    });
  }

  /** Rejects a request that is quarantined; returns the keys under which it may be. */
  #checkQuarantine(
    request: CallerRequest,
    route: Route,
    team: string | undefined,
  ): Pick<ConstructorParameters<typeof ForwardedRequest>[0], 'fingerprint' | 'quarantineKeys'> {
    const fingerprint = requestFingerprint(request, team);
    const quarantineKeys = quarantineKeysOf(request, fingerprint);
    const held = this.#options.quarantine.find(quarantineKeys);
    if (!held) return { fingerprint, quarantineKeys };
    throw new Refusal(isRepeatKey(held.part) ? 'request-quarantined' : 'prompt-quarantined', {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: held.remainingMs,
      inputs: { route: route.name, part: held.part, quarantinedMs: Math.round(held.ageMs) },
    });
  }

  /** Logs with how much the buckets of teams start that had none before. */
  #logOpened(teams: readonly string[]): void {
    if (teams.length === 0) return;
    const { quota, log } = this.#options;
    const level = teams.reduce((sum, team) => sum + (quota.stateOf(team)?.level ?? 0), 0);
    log.notable('quota-opened', { teams: teams.length, level, share: quota.share });
  }

  #takeQuota(request: CallerRequest, team: Team | undefined): number {
    if (!team?.limit) return 0;
    const cost = costOf(request, team.limit);
    const { quota } = this.#options;
    if (quota.tryTake(team.name, cost)) return cost;
    throw new Refusal('quota-exceeded', {
      status: HTTP_TOO_MANY_REQUESTS,
      retryAfterMs: quota.waitMs(team.name, cost),
      inputs: { team: team.name, cost, ...quota.stateOf(team.name) },
    });
  }
}
