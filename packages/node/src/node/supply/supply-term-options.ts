import type { Clock } from '@ragwortrudder/core';
import type { CloudApi } from '@ragwortrudder/platform';
import type { Supply } from '@ragwortrudder/settings';
import type { ReclaimHistory, SupplyPolicy } from '@ragwortrudder/supply';
import type { JobLease } from '../../types/job-lease.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { StateLog } from '../metrics/state-log.ts';
import type { RunnerClient } from '../runners/runner-client.ts';
import type { EngineClient } from './engine-client.ts';
import type { ReturningVms } from './returning-vms.ts';

/** Options and dependencies of one term of a supply job. */
export interface SupplyTermOptions {
  readonly service: string;
  readonly lease: JobLease;
  /** Fencing number of this term. */
  readonly fence: number;
  /** Fencing numbers of earlier terms, the newest first. */
  readonly earlierFences: readonly number[];
  readonly settings: Supply;
  /** Number of supply jobs that share the platform's rate limits. */
  readonly jobs: number;
  readonly policy: SupplyPolicy;
  readonly history: ReclaimHistory;
  readonly cloud: Pick<CloudApi, 'startVm' | 'stopVm' | 'findStarted'>;
  readonly engines: Pick<EngineClient, 'state' | 'order'>;
  readonly runners: Pick<RunnerClient, 'load'>;
  readonly returning: ReturningVms;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: StateLog;
  readonly signal: AbortSignal;
  /**
   * Time in milliseconds for every node to receive the report that a runner accepts no new
   * requests.
   * @default 3000
   */
  readonly propagationMs?: number;
}
