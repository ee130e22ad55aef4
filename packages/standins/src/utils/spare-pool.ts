import type { SpareRunner } from '../types/spare-runner.ts';
import type { VmRecord } from '../types/vm-record.ts';

function fits(spare: SpareRunner, vm: VmRecord): boolean {
  return (
    spare.failureDomain === vm.failureDomain &&
    spare.labels.service === vm.labels.service &&
    spare.labels.version === vm.labels.version
  );
}

/** Runners that wait for a VM, and those that have one. */
export class SparePool {
  readonly #taken = new Map<string, SpareRunner>();
  #free: readonly SpareRunner[] = [];

  add(spares: readonly SpareRunner[]): void {
    this.#free = [...this.#free, ...spares];
  }

  /** Gives a VM the first runner that fits its failure domain and labels. */
  take(vm: VmRecord): SpareRunner | undefined {
    const spare = this.#free.find((other) => fits(other, vm));
    if (!spare) return undefined;
    this.#free = this.#free.filter((other) => other !== spare);
    this.#taken.set(vm.id, spare);
    return spare;
  }

  /** Takes the runner of a stopped VM back. */
  release(vmId: string): SpareRunner | undefined {
    const spare = this.#taken.get(vmId);
    if (!spare) return undefined;
    this.#taken.delete(vmId);
    this.#free = [...this.#free, spare];
    return spare;
  }
}
