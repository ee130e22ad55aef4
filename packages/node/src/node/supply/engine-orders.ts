import type { Clock } from '@ragwortrudder/core';
import type { Vm } from '@ragwortrudder/platform';
import type { JobLease } from '../../types/job-lease.ts';
import type { SupplyView } from '../../types/supply-view.ts';
import type { Pace } from '../../utils/pace.ts';
import type { Metrics } from '../metrics/metrics.ts';
import type { EngineClient } from './engine-client.ts';

interface EngineOrdersOptions {
  readonly lease: JobLease;
  readonly client: Pick<EngineClient, 'state' | 'order'>;
  readonly pace: Pace;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Period of comparing the state of an engine with the wanted one, in milliseconds. */
  readonly checkMs: number;
}

interface CheckedEngine {
  readonly version: string;
  readonly at: number;
}

/** Brings model engines to serve the version of their VM, one term of a lease long. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  /** Engines that were seen to serve the wanted version. */
  readonly #checked = new Map<string, CheckedEngine>();

  constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /** Compares the engines on `vms` with what is wanted and orders those that differ. */
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

  /** Reads the engine's state; one that cannot be read is looked at again next time. */
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
   * Orders the wanted version; false when no further order is to follow now. What became of it
   * shows the next reading, also before engines whose reply says that it is done.
   */
  async #orderLoad(vm: Vm, view: SupplyView, until: number): Promise<boolean> {
    const { lease, client, pace, metrics } = this.#options;
    const version = desiredVersion(vm, view);
    if (version === undefined || !(await pace.take(until))) return false;
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

/** The version that the labels of a VM name, if it needs capacity; else the wanted one, for a VM without labels of a version. */
function desiredVersion({ labels }: Vm, { versions }: SupplyView): string | undefined {
  if (labels.version === undefined) return versions.at(-1);
  return versions.includes(labels.version) ? labels.version : undefined;
}
