import type { Clock } from '@ragwortrudder/core';
import type { Vm } from '@ragwortrudder/platform';
import type { JobLease } from '../../types/job-lease.ts';
import type { SupplyView } from '../../types/supply-view.ts';
import type { RateLimiter } from '../../utils/rate-limiter.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { EngineClient } from './engine-client.ts';

interface EngineOrdersOptions {
  readonly lease: JobLease;
  readonly client: Pick<EngineClient, 'state' | 'order'>;
  readonly pace: RateLimiter;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Period at which the state of an engine is compared with the desired one, in milliseconds. */
  readonly checkMs: number;
}

interface CheckedEngine {
  readonly version: string;
  readonly at: number;
}

/** Orders model engines to serve the version of their VM, for one term of a lease. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  /** Engines that were observed to serve the desired version, by VM id. */
  readonly #checked = new Map<string, CheckedEngine>();

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Compares the engines on `vms` with their desired state and sends orders where they differ. */
  async check(view: SupplyView, vms: readonly Vm[], until: number): Promise<void> {
    if (view.service.kind !== 'model') return;
    const liveVms = vms.filter(({ state, address }) => state === 'live' && address !== '');
    this.#forget(new Set(liveVms.map(({ id }) => id)));
    const due = liveVms.filter((vm) => this.#isDue(vm, desiredVersion(vm, view)));
    const needsOrder = await Promise.all(due.map((vm) => this.#needsOrder(vm, view)));
    for (const vm of due.filter((_, index) => needsOrder[index])) {
      if (!(await this.#orderLoad(vm, view, until))) return;
    }
  }

  #forget(ids: ReadonlySet<string>): void {
    for (const id of this.#checked.keys()) if (!ids.has(id)) this.#checked.delete(id);
  }

  #isDue({ id }: Vm, version: string | undefined): boolean {
    const checked = this.#checked.get(id);
    if (version === undefined || checked?.version !== version) return version !== undefined;
    return this.#options.clock.monotonic() - checked.at >= this.#options.checkMs;
  }

  /** Reads the engine's state; an engine that cannot be read is checked again in the next step. */
  async #needsOrder(vm: Vm, view: SupplyView): Promise<boolean> {
    const version = desiredVersion(vm, view);
    if (version === undefined) return false;
    try {
      const state = await this.#options.client.state(vm.address);
      const isDesired = state.version === version && state.service === view.name;
      if (isDesired) this.#checked.set(vm.id, { version, at: this.#options.clock.monotonic() });
      else this.#checked.delete(vm.id);
      return !isDesired;
    } catch {
      this.#options.metrics.count('engine_reads_failed');
      return false;
    }
  }

  /**
   * Orders the desired version; false if no further order may be sent now. The result is taken from
   * the next state read, even if the engine's reply reports success.
   */
  async #orderLoad(vm: Vm, view: SupplyView, until: number): Promise<boolean> {
    const { lease, client, pace, metrics } = this.#options;
    const version = desiredVersion(vm, view);
    if (version === undefined || !(await pace.acquire(until))) return false;
    const mayAct = view.service.fencing ? lease.mayAct() : lease.mayActUnfenced();
    const { fence } = lease;
    if (!mayAct || fence === undefined) return false;
    const order = { fence, action: 'load', service: view.name, version } as const;
    const reply = await client.order(vm.address, order);
    metrics.count('supply_actions', { action: 'load', result: reply.kind });
    if (reply.kind === 'throttled') pace.throttled(reply.retryAfterMs);
    return reply.kind !== 'throttled';
  }
}

/**
 * Version that the engine on a VM must serve: the one in the labels of the VM, or undefined if that
 * version needs no capacity. A VM without a version label serves the last of `versions`.
 */
function desiredVersion({ labels }: Vm, { versions }: SupplyView): string | undefined {
  if (labels.version === undefined) return versions.at(-1);
  return versions.includes(labels.version) ? labels.version : undefined;
}
