import { isRepeatKey } from '@ragwortrudder/admission';
import { selectService, ApiKeyIndex, RouteTable } from '@ragwortrudder/catalog';
import type { Configuration, Route, Service, Team } from '@ragwortrudder/catalog';
import { Refusal } from '../errors/refusal.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { quarantineKeysOf } from '../utils/quarantine-keys-of.ts';
import { requestFingerprint } from '../utils/request-fingerprint.ts';
import { costOf } from '../utils/cost-of.ts';
import { toleratedLimit } from '../utils/tolerated-limit.ts';
import type { CallerChannel } from './caller-channel.ts';
import { ForwardedRequest } from './forwarded-request.ts';

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
/** Retry-After of a node without a configuration, in milliseconds: the time of a store read. */
const NO_CONFIGURATION_RETRY_MS = 500;

interface ActiveConfiguration {
  readonly configuration: Configuration;
  readonly routes: RouteTable;
  readonly keys: ApiKeyIndex;
  readonly services: ReadonlyMap<string, Service>;
}

/** Admits requests according to the active configuration and forwards them to runners. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #active = new Set<ForwardedRequest>();
  #activeConfiguration: ActiveConfiguration | undefined;

  constructor(options: ForwarderOptions) {
    this.#options = options;
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
      limit ? [[name, toleratedLimit(limit, this.#options.quotas())] as const] : [],
    );
    this.#options.quota.setLimits(new Map(limits));
  }

  /** Serves one request; settles once the response has been handed to the channel. */
  async forward(request: CallerRequest, channel: CallerChannel): Promise<void> {
    try {
      await this.#serve(request, channel);
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      const { log, metrics } = this.#options;
      metrics.count('refusals', { cause: error.code });
      log.notable('request-refused', {
        request: request.id,
        cause: error.code,
        status: error.status,
        retryAfterMs: error.retryAfterMs,
        version: this.#activeConfiguration?.configuration.version,
        ...error.inputs,
      });
      channel.fail(error, request.id);
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
      throw new Refusal('route-unknown', {
        status: HTTP_NOT_FOUND,
        inputs: { host: request.host, path: request.path },
      });
    }
    const team = this.#teamOf(request, route, activeConfiguration);
    const service = this.#serviceOf(route, activeConfiguration);
    const fingerprint = requestFingerprint(request, team?.name);
    const quarantineKeys = quarantineKeysOf(request, fingerprint);
    this.#checkQuarantine(quarantineKeys, route);
    const cost = this.#takeQuota(request, team);
    this.#options.onAdmitted(service, request);
    const forwarded = new ForwardedRequest({
      ...this.#options,
      request,
      channel,
      route,
      service,
      team,
      fingerprint,
      quarantineKeys,
      refundQuota: () => {
        if (team) this.#options.quota.refund(team.name, cost);
      },
    });
    this.#active.add(forwarded);
    try {
      await forwarded.run();
    } finally {
      this.#active.delete(forwarded);
    }
  }

  #teamOf(
    request: CallerRequest,
    route: Route,
    activeConfiguration: ActiveConfiguration,
  ): Team | undefined {
    if (route.isPublic || activeConfiguration.configuration.teams.length === 0) return undefined;
    const team =
      request.apiKey === undefined ? undefined : activeConfiguration.keys.find(request.apiKey);
    if (!team) {
      throw new Refusal('key-unknown', {
        status: HTTP_UNAUTHORIZED,
        inputs: { route: route.name },
      });
    }
    return team;
  }

  #serviceOf(route: Route, activeConfiguration: ActiveConfiguration): Service {
    const name = selectService(route.targets, this.#options.random.next());
    const service = name === undefined ? undefined : activeConfiguration.services.get(name);
    if (!service) throw new Refusal('no-runner', { status: HTTP_UNAVAILABLE });
    return service;
  }

  #checkQuarantine(keys: readonly string[], route: Route): void {
    const held = this.#options.quarantine.find(keys);
    if (!held) return;
    throw new Refusal(isRepeatKey(held.part) ? 'request-quarantined' : 'prompt-quarantined', {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: held.remainingMs,
      inputs: { route: route.name, part: held.part, quarantinedMs: Math.round(held.ageMs) },
    });
  }

  #takeQuota(request: CallerRequest, team: Team | undefined): number {
    if (!team?.limit) return 0;
    const cost = costOf(request, team.limit);
    if (this.#options.quota.tryTake(team.name, cost)) return cost;
    throw new Refusal('quota-exceeded', {
      status: HTTP_TOO_MANY_REQUESTS,
      retryAfterMs: this.#options.quota.waitMs(team.name, cost),
      inputs: { team: team.name, cost },
    });
  }
}
