import type { RetryBudget, SharedQuota } from '@ragwortrudder/admission';
import type { RunnerDirectory, Service } from '@ragwortrudder/catalog';
import type { Clock, Random } from '@ragwortrudder/core';
import type { SessionPlaces } from '@ragwortrudder/routing';
import type { DecisionLog } from '../node/decision-log.ts';
import type { GatewayMetrics } from '../node/gateway-metrics.ts';
import type { RunnerPool } from '../node/runner-pool.ts';
import type { LoadBoard } from '../utils/load-board.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { CallerRequest } from './caller-request.ts';
import type { Dialect } from './dialect.ts';
import type { GatewaySettings } from './gateway-settings.ts';

/** Parts that every forwarded request uses. */
export interface ForwarderOptions {
  readonly failureDomain: string;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: RunnerDirectory;
  readonly pool: RunnerPool;
  readonly board: LoadBoard;
  readonly sessions: SessionPlaces;
  readonly quota: SharedQuota;
  readonly budget: RetryBudget;
  readonly usage: UsageCounter;
  readonly quotas: () => GatewaySettings['quotas'];
  readonly trueTime: { now(): number };
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Called when a request with so many prompt tokens to be read has been sent to a runner. */
  readonly onPrompt: (runnerId: string, tokens: number) => void;
  /** Called with each request that is admitted, for the forecast of demand. */
  readonly onDemand: (service: Service, request: CallerRequest) => void;
}
