import type { Vm } from '@ragwortrudder/platform';

/** Tells which VMs have no address yet, and which have had none for too long. */
export class BootWatch {
  readonly #limitMs: number;
  readonly #since = new Map<string, number>();

  /** @param limitMs - time in milliseconds within which a VM has to get an address */
  constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  /** True while nothing serves on the VM yet. */
  isBooting(vmId: string): boolean {
    return this.#since.has(vmId);
  }

  /** Takes in the list; returns the VMs that are not to be waited for any longer. */
  observe(vms: readonly Vm[], now: number): readonly string[] {
    const booting = new Set(vms.filter(({ address }) => address === '').map(({ id }) => id));
    for (const id of this.#since.keys()) if (!booting.has(id)) this.#since.delete(id);
    for (const id of booting) if (!this.#since.has(id)) this.#since.set(id, now);
    return [...this.#since].filter(([, at]) => now - at >= this.#limitMs).map(([id]) => id);
  }
}
