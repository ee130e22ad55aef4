import { spreadRetryMs } from '@ragwortrudder/admission';
import type { Route, Service, Team } from '@ragwortrudder/catalog';
import { Refusal } from '../errors/refusal.ts';
import type { HomeRegions } from '@ragwortrudder/routing';
import type { ForwarderOptions } from '../types/forwarder-options.ts';
import type { TriedRunners } from '../utils/tried-runners.ts';
import { countRunners } from './count-runners.ts';

interface RunnerRefusalsOptions extends Pick<
  ForwarderOptions,
  'clock' | 'random' | 'directory' | 'pool' | 'responseTimes'
> {
  readonly route: Route;
  readonly service: Service;
  readonly team: Team | undefined;
  /** Regions in which the request may be served. */
  readonly home: HomeRegions;
  readonly tried: TriedRunners;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

type RunnerCause = 'runner-full' | 'runner-unreachable' | 'no-runner';

const HTTP_UNAVAILABLE = 503;
/** Mean Retry-After of a saturated service, in milliseconds: the time of a few responses. */
const SATURATED_RETRY_MS = 400;
/**
 * Maximum random delay after the end of a rest, in milliseconds. Callers that return together at its
 * end would make the runner ask for rest again.
 */
const REST_SPREAD_MS = 100;
/** Least delay while all runners are cold, in milliseconds; many callers share what they take by then. */
const MIN_COLD_RETRY_MS = 100;

/** Refusals of a request that no runner has run. */
export class RunnerRefusals {
  readonly #options: RunnerRefusalsOptions;

  constructor(options: RunnerRefusalsOptions) {
    this.#options = options;
  }

  /** Why no runner can be chosen for a request after a number of attempts. */
  causeWithoutRunner(sends: number): RunnerCause {
    const { pool, service, home } = this.#options;
    const { runners, lost } = pool.reachOf(service.name, home);
    if (lost.size > 0 && lost.size === runners.length) return 'runner-unreachable';
    return sends > 0 ? 'runner-full' : 'no-runner';
  }

  /** Values that a refusal is based on, for the log. */
  get inputs(): Readonly<Record<string, string | number | undefined>> {
    const { route, team, tried, clock, arrivedAt } = this.#options;
    return {
      route: route.name,
      team: team?.name,
      ...countRunners(this.#options),
      runnersTried: tried.size,
      afterMs: Math.round(clock.monotonic() - arrivedAt),
    };
  }

  /** Rejection of the request. */
  of(cause: RunnerCause): Refusal {
    return new Refusal(cause, {
      status: HTTP_UNAVAILABLE,
      retryAfterMs: this.#retryAfterMs(),
      inputs: this.inputs,
    });
  }

  #retryAfterMs(): number {
    const { pool, service, route, responseTimes, random, clock, deadlineAt } = this.#options;
    const restMs = pool.restMs(service.name);
    if (restMs !== undefined) return restMs + REST_SPREAD_MS * random.next();
    const coldMs = pool.coldWaitMs(service.name);
    if (coldMs !== undefined) return Math.max(MIN_COLD_RETRY_MS, coldMs) * (1 + random.next());
    // By then one of the requests that take the room of brittle runners has ended.
    const roomMs = pool.hasBrittle ? responseTimes.expectedMs(route.name) : undefined;
    return spreadRetryMs({
      expectedMs: Math.min(SATURATED_RETRY_MS, roomMs ?? SATURATED_RETRY_MS),
      remainingMs: deadlineAt - clock.monotonic(),
      random,
    });
  }
}
