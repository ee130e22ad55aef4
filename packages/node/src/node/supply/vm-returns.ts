import type { Clock } from '@ragwortrudder/core';
import { PlatformRateExceeded } from '@ragwortrudder/platform';
import type { CloudApi, Vm } from '@ragwortrudder/platform';
import type { SupplyTracker } from '@ragwortrudder/supply';
import type { JobLease } from '../../types/job-lease.ts';
import type { RateLimiter } from '../../utils/rate-limiter.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { StateLog } from '../metrics/state-log.ts';
import type { RunnerClient } from '../runners/runner-client.ts';
import type { ReturningVms } from './returning-vms.ts';

/** Time for every node to receive the report that a runner accepts no new requests. */
const PROPAGATION_MS = 3000;
/** Time without contact after which a runner is assumed to have no requests. */
const UNREACHABLE_MS = 300_000;

interface VmReturnsOptions {
  readonly lease: JobLease;
  readonly tracker: SupplyTracker;
  readonly cloud: Pick<CloudApi, 'stopVm'>;
  readonly runners: Pick<RunnerClient, 'load'>;
  readonly returning: ReturningVms;
  readonly pace: RateLimiter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: StateLog;
  /**
   * Time in milliseconds for every node to receive the report that a runner accepts no new
   * requests.
   * @default 3000
   */
  readonly propagationMs?: number;
}

interface DrainState {
  readonly startedAt: number;
  readonly lastContact: number;
  readonly isStopped: boolean;
}

/** Returns VMs once their runners accept no new requests and have finished the running ones. */
export class VmReturns {
  readonly #options: VmReturnsOptions;
  readonly #drains = new Map<string, DrainState>();

  constructor(options: VmReturnsOptions) {
    this.#options = options;
  }

  /** Drains and stops the VMs whose stop is due or that an earlier holder began to drain. */
  async advance(vms: readonly Vm[], until: number): Promise<void> {
    const { tracker, returning, clock } = this.#options;
    const listed = new Map(vms.map((vm) => [vm.id, vm]));
    this.#forget(listed);
    const due = tracker.dueStops(clock.monotonic()).map(({ vmId }) => vmId);
    const inherited = vms.map(({ id }) => id).filter((id) => returning.has(id));
    for (const vmId of new Set([...due, ...inherited])) this.#begin(vmId);
    for (const [vmId, { isStopped }] of this.#drains) {
      if (isStopped || !(await this.#isIdle(vmId, listed.get(vmId)))) continue;
      if (!(await this.#stop(vmId, until))) return;
    }
  }

  #forget(listed: ReadonlyMap<string, Vm>): void {
    for (const [vmId, { isStopped }] of this.#drains) {
      if (!isStopped || listed.has(vmId)) continue;
      this.#drains.delete(vmId);
      this.#options.returning.forget(vmId);
    }
  }

  #begin(vmId: string): void {
    if (this.#drains.has(vmId)) return;
    const { returning, clock, log } = this.#options;
    const now = clock.monotonic();
    this.#drains.set(vmId, { startedAt: now, lastContact: now, isStopped: false });
    returning.drain(vmId);
    log.record({ kind: 'vm', subject: vmId, state: 'returning' });
  }

  async #isIdle(vmId: string, vm: Vm | undefined): Promise<boolean> {
    const { clock, runners, propagationMs = PROPAGATION_MS } = this.#options;
    const drain = this.#drains.get(vmId);
    if (!drain || clock.monotonic() - drain.startedAt < propagationMs) return false;
    if (!vm?.address) return true;
    try {
      const { running, waiting } = await runners.load(vm.address);
      this.#drains.set(vmId, { ...drain, lastContact: clock.monotonic() });
      return running + waiting === 0;
    } catch {
      return clock.monotonic() - drain.lastContact >= UNREACHABLE_MS;
    }
  }

  /** Stops a VM; false if no further call may be sent now. */
  async #stop(vmId: string, until: number): Promise<boolean> {
    const { lease, tracker, cloud, pace, clock, metrics, log } = this.#options;
    if (!(await pace.acquire(until)) || !lease.mayAct()) return false;
    tracker.recordStopSent(vmId, clock.monotonic());
    try {
      await cloud.stopVm(vmId);
    } catch (error) {
      const isThrottled = error instanceof PlatformRateExceeded;
      if (isThrottled) pace.throttled(error.retryAfterMs);
      const result = isThrottled ? 'throttled' : 'lost';
      metrics.count('supply_actions', { action: 'stop', result });
      return !isThrottled;
    }
    tracker.recordStopConfirmed(vmId);
    const drain = this.#drains.get(vmId);
    if (drain) this.#drains.set(vmId, { ...drain, isStopped: true });
    metrics.count('supply_actions', { action: 'stop', result: 'stopped' });
    log.record({ kind: 'vm', subject: vmId, state: 'returned' });
    return true;
  }
}
