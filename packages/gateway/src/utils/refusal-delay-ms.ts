import type { Route, Service } from '@ragwortrudder/catalog';
import type { Random } from '@ragwortrudder/core';
import type { RunnerPool } from '../node/runner-pool.ts';
import type { ResponseTimes } from './response-times.ts';

interface RefusalDelayOptions {
  readonly pool: Pick<RunnerPool, 'restMs' | 'coldWaitMs' | 'hasBrittle'>;
  readonly responseTimes: Pick<ResponseTimes, 'expectedMs'>;
  readonly random: Random;
  readonly service: Pick<Service, 'name'>;
  readonly route: Pick<Route, 'name'>;
}

/** Retry-After of a saturated service, in milliseconds: the time of a few responses. */
const SATURATED_RETRY_MS = 400;
/** Least delay while all runners are cold, in milliseconds; many callers share what they take by then. */
const MIN_COLD_RETRY_MS = 100;

/** Time after which a service without a runner for a request may have one, in milliseconds. */
export function refusalDelayMs(options: RefusalDelayOptions): number {
  const { pool, responseTimes, random, service, route } = options;
  const restMs = pool.restMs(service.name);
  if (restMs !== undefined) return restMs;
  const coldMs = pool.coldWaitMs(service.name);
  // Callers that were refused at the same time must not come back at the same time.
  if (coldMs !== undefined) return Math.max(MIN_COLD_RETRY_MS, coldMs) * (1 + random.next());
  // By then one of the requests that take the room of brittle runners has ended.
  const roomMs = pool.hasBrittle ? responseTimes.expectedMs(route.name) : undefined;
  return Math.min(SATURATED_RETRY_MS, roomMs ?? SATURATED_RETRY_MS);
}
