import type { Price, VmRecord } from '@ragwortrudder/standins';
import { protectedUnits } from '@ragwortrudder/supply';

const MS_PER_HOUR = 3_600_000;

interface Sample {
  readonly atMs: number;
  readonly serving: number;
  readonly protected: number;
  readonly loads: number;
}

function priceOf(vm: VmRecord, prices: readonly Price[]): number {
  const price = prices.find(
    ({ failureDomain, machineClass, reclaimable }) =>
      failureDomain === vm.failureDomain &&
      machineClass === vm.machineClass &&
      reclaimable === vm.reclaimable,
  );
  return price?.pricePerHour ?? 0;
}

/** Collects the VMs held and their cost during a supply experiment. */
export class SupplySamples {
  readonly #samples: Sample[] = [];
  readonly #ids = new Set<string>();
  #vmMs = 0;
  #cost = 0;

  /**
   * Adds a sample of the existing VMs, the current prices and the number of weight loads so far.
   */
  add(options: {
    readonly atMs: number;
    readonly vms: readonly VmRecord[];
    readonly prices: readonly Price[];
    readonly loads: number;
  }): void {
    const { atMs, vms, prices, loads } = options;
    const elapsedMs = atMs - (this.#samples.at(-1)?.atMs ?? atMs);
    for (const vm of vms) {
      this.#ids.add(vm.id);
      this.#vmMs += elapsedMs;
      this.#cost += (priceOf(vm, prices) * elapsedMs) / MS_PER_HOUR;
    }
    const serving = vms.filter(({ state, address }) => state === 'live' && address !== '');
    this.#samples.push({
      atMs,
      serving: serving.length,
      protected: protectedUnits(serving, { standard: 1 }),
      loads,
    });
  }

  /**
   * Returns the values of the result row; serving and protected counts only include samples from
   * `warmUpMs` on.
   */
  values(warmUpMs: number, requiredRunners: number): Readonly<Record<string, number>> {
    const warmSamples = this.#samples.filter(({ atMs }) => atMs >= warmUpMs);
    const elapsedHours = (this.#samples.at(-1)?.atMs ?? 0) / MS_PER_HOUR;
    const fractionWhere = (predicate: (sample: Sample) => boolean): number =>
      warmSamples.filter(predicate).length / Math.max(1, warmSamples.length);
    return {
      costPerHour: this.#cost / elapsedHours,
      vms: this.#vmMs / MS_PER_HOUR / elapsedHours,
      leastServing: Math.min(...warmSamples.map(({ serving }) => serving)),
      partServingAll: fractionWhere(({ serving }) => serving >= requiredRunners),
      medianProtected: median(warmSamples.map((sample) => sample.protected)),
      partProtected: fractionWhere((sample) => sample.protected >= requiredRunners),
      started: this.#ids.size,
      loads: this.#samples.at(-1)?.loads ?? 0,
      loadsPerSecond: this.#peakLoads(),
    };
  }

  /** Returns the largest number of weight loads within any second. */
  #peakLoads(): number {
    let peak = 0;
    for (const end of this.#samples) {
      const start = this.#samples.find(({ atMs }) => atMs >= end.atMs - 1000);
      peak = Math.max(peak, end.loads - (start?.loads ?? 0));
    }
    return peak;
  }
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
