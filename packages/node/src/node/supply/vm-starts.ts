import type { Clock } from '@ragwortrudder/core';
import { PlatformRateExceeded, VmRefused } from '@ragwortrudder/platform';
import type { CloudApi } from '@ragwortrudder/platform';
import type { StartReply, StartVm, SupplyTracker } from '@ragwortrudder/supply';
import type { JobLease } from '../../types/job-lease.ts';
import type { RateLimiter } from '../../utils/rate-limiter.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { StateLog } from '../metrics/state-log.ts';

interface VmStartsOptions {
  readonly lease: JobLease;
  readonly tracker: SupplyTracker;
  readonly cloud: Pick<CloudApi, 'startVm'>;
  readonly pace: RateLimiter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: StateLog;
}

/** Sends the VM starts that are due in the tracker, one at a time. */
export class VmStarts {
  readonly #options: VmStartsOptions;

  constructor(options: VmStartsOptions) {
    this.#options = options;
  }

  /** Sends starts until none is due, the API reports its rate limit, or `until` has passed. */
  async advance(until: number): Promise<void> {
    const { lease, tracker, pace, clock, metrics } = this.#options;
    for (const start of tracker.dueStarts(clock.monotonic())) {
      if (!(await pace.acquire(until)) || !lease.mayAct()) return;
      tracker.recordStartSent(start.requestId, clock.monotonic());
      const reply = await this.#send(start);
      tracker.recordStartReply(start.requestId, reply, clock.monotonic(), clock.wall());
      metrics.count('supply_actions', { action: 'start', result: reply.kind });
      if (reply.kind !== 'throttled') continue;
      pace.throttled(reply.retryAfterMs);
      return;
    }
  }

  async #send({
    requestId,
    failureDomain,
    machineClass,
    reclaimable,
    labels,
  }: StartVm): Promise<StartReply> {
    const { cloud, log } = this.#options;
    const request = { requestId, failureDomain, machineClass, reclaimable, labels };
    try {
      const vmId = await cloud.startVm(request);
      log.record({ kind: 'vm', subject: vmId, state: 'started' });
      return { kind: 'started', vmId };
    } catch (error) {
      if (error instanceof VmRefused) return { kind: 'refused' };
      if (!(error instanceof PlatformRateExceeded)) return { kind: 'lost' };
      return { kind: 'throttled', retryAfterMs: error.retryAfterMs };
    }
  }
}
