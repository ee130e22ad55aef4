import type { SpareRunner } from '../types/spare-runner.ts';
import type { VmRecord } from '../types/vm-record.ts';

function matchesVm(spare: SpareRunner, vm: VmRecord): boolean {
  return (
    spare.failureDomain === vm.failureDomain &&
    spare.labels.service === vm.labels.service &&
    spare.labels.version === vm.labels.version
  );
}

/** Pool of spare runners: free ones and those assigned to a VM. */
export class SparePool {
  readonly #taken = new Map<string, SpareRunner>();
  #free: readonly SpareRunner[] = [];

  add(spares: readonly SpareRunner[]): void {
    this.#free = [...this.#free, ...spares];
  }

  /** Assigns to a VM the first free runner that matches its failure domain and labels. */
  take(vm: VmRecord): SpareRunner | undefined {
    const spare = this.#free.find((other) => matchesVm(other, vm));
    if (!spare) return undefined;
    this.#free = this.#free.filter((other) => other !== spare);
    this.#taken.set(vm.id, spare);
    return spare;
  }

  /** Returns the runner of a stopped VM to the pool. */
  release(vmId: string): SpareRunner | undefined {
    const spare = this.#taken.get(vmId);
    if (!spare) return undefined;
    this.#taken.delete(vmId);
    this.#free = [...this.#free, spare];
    return spare;
  }
}
