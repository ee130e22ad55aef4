import { drawService, KeyTable, RouteTable } from '@ragwortrudder/catalog';
import type { Configuration, Route, Service, Team } from '@ragwortrudder/catalog';
import { Refusal } from '../errors/refusal.ts';
import type { CallerRequest } from '../types/caller-request.ts';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import { costOf } from '../utils/cost-of.ts';
import { toleratedLimit } from '../utils/tolerated-limit.ts';
import type { CallerChannel } from './caller-channel.ts';
import { ForwardedRequest } from './forwarded-request.ts';

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
/** When a caller may return to a node that has no configuration, in milliseconds: a read of the store. */
const NO_CONFIGURATION_RETRY_MS = 500;

interface InForce {
  readonly configuration: Configuration;
  readonly routes: RouteTable;
  readonly keys: KeyTable;
  readonly services: ReadonlyMap<string, Service>;
}

/** Admits requests by the configuration in force and forwards them to runners. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #active = new Set<ForwardedRequest>();
  #inForce: InForce | undefined;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /** Requests in progress. */
  get active(): ReadonlySet<ForwardedRequest> {
    return this.#active;
  }

  /** Looks at all requests in progress for silent runners; one timer of the node does for all of them. */
  watch(): void {
    for (const request of this.#active) request.watch();
  }

  /** Puts a configuration in force. */
  apply(configuration: Configuration): void {
    this.#inForce = {
      configuration,
      routes: new RouteTable(configuration),
      keys: new KeyTable(configuration),
      services: new Map(configuration.services.map((service) => [service.name, service])),
    };
    const limits = configuration.teams.flatMap(({ name, limit }) =>
      limit ? [[name, toleratedLimit(limit, this.#options.quotas())] as const] : [],
    );
    this.#options.quota.setLimits(new Map(limits));
  }

  /** Serves one request; settles once its answer has been handed to the channel. */
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
        version: this.#inForce?.configuration.version,
        ...error.inputs,
      });
      channel.fail(error, request.id);
    }
  }

  async #serve(request: CallerRequest, channel: CallerChannel): Promise<void> {
    const inForce = this.#inForce;
    if (!inForce) {
      throw new Refusal('no-configuration', {
        status: HTTP_UNAVAILABLE,
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
    }
    const route = inForce.routes.find(request.host, request.path);
    if (!route) {
      throw new Refusal('route-unknown', {
        status: HTTP_NOT_FOUND,
        inputs: { host: request.host, path: request.path },
      });
    }
    const team = this.#teamOf(request, route, inForce);
    const service = this.#serviceOf(route, inForce);
    const cost = this.#draw(request, team);
    this.#options.onDemand(service, request);
    const forwarded = new ForwardedRequest({
      ...this.#options,
      request,
      channel,
      route,
      service,
      team,
      giveBack: () => {
        if (team) this.#options.quota.giveBack(team.name, cost);
      },
    });
    this.#active.add(forwarded);
    try {
      await forwarded.run();
    } finally {
      this.#active.delete(forwarded);
    }
  }

  #teamOf(request: CallerRequest, route: Route, inForce: InForce): Team | undefined {
    if (route.isPublic || inForce.configuration.teams.length === 0) return undefined;
    const team = request.apiKey === undefined ? undefined : inForce.keys.find(request.apiKey);
    if (!team) {
      throw new Refusal('key-unknown', {
        status: HTTP_UNAUTHORIZED,
        inputs: { route: route.name },
      });
    }
    return team;
  }

  #serviceOf(route: Route, inForce: InForce): Service {
    const name = drawService(route.targets, this.#options.random.next());
    const service = name === undefined ? undefined : inForce.services.get(name);
    if (!service) throw new Refusal('no-runner', { status: HTTP_UNAVAILABLE });
    return service;
  }

  #draw(request: CallerRequest, team: Team | undefined): number {
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
