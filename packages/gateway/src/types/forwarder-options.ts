import type { PromptQuarantine, RetryBudget, SharedQuota } from '@ragwortrudder/admission';
import type { RunnerDirectory, Service } from '@ragwortrudder/catalog';
import type { Clock, Random } from '@ragwortrudder/core';
import type { SessionAffinity } from '@ragwortrudder/routing';
import type { DecisionLog } from '../node/decision-log.ts';
import type { GatewayMetrics } from '../node/gateway-metrics.ts';
import type { Intake } from '../node/intake.ts';
import type { Rollouts } from '../node/rollouts.ts';
import type { RunnerPool } from '../node/runner-pool.ts';
import type { DeferredEvidence } from '../utils/deferred-evidence.ts';
import type { ResponseTimes } from '../utils/response-times.ts';
import type { RunnerLoadTracker } from '../utils/runner-load-tracker.ts';
import type { UsageCounter } from '../utils/usage-counter.ts';
import type { CallerRequest } from './caller-request.ts';
import type { Dialect } from './dialect.ts';
import type { GatewaySettings } from './gateway-settings.ts';

/** Dependencies that all forwarded requests share. */
export interface ForwarderOptions {
  readonly failureDomain: string;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: RunnerDirectory;
  readonly pool: RunnerPool;
  readonly rollouts: Rollouts;
  readonly loadTracker: RunnerLoadTracker;
  readonly sessions: SessionAffinity;
  readonly quota: SharedQuota;
  readonly retryBudget: RetryBudget;
  readonly quarantine: PromptQuarantine;
  readonly deferredEvidence: DeferredEvidence;
  readonly intake: Intake;
  readonly usage: UsageCounter;
  readonly settings: () => Pick<GatewaySettings, 'quotas' | 'region' | 'domainRegions'>;
  readonly disciplinedClock: { now(): number };
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Called when a request with a long prompt has been sent to a runner, with the tokens to prefill. */
  readonly onLongPrompt: (runnerId: string, tokens: number) => void;
  readonly responseTimes: ResponseTimes;
  /** Grace period of a stopping node, in milliseconds; undefined while it is not stopping. */
  readonly grace: () => { readonly passedMs: number; readonly remainingMs: number } | undefined;
  /** Called for each admitted request, to measure demand. */
  readonly onAdmitted: (service: Service, request: CallerRequest) => void;
}
