import type { Vm } from '@ragwortrudder/platform';

/** Tracks which VMs have no address yet, and which have had none for too long. */
export class BootTracker {
  readonly #bootTimeoutMs: number;
  readonly #bootingSince = new Map<string, number>();

  /** @param bootTimeoutMs - time in milliseconds within which a VM has to get an address */
  constructor(bootTimeoutMs: number) {
    this.#bootTimeoutMs = bootTimeoutMs;
  }

  /** True while the VM has no address, so that nothing serves on it. */
  isBooting(vmId: string): boolean {
    return this.#bootingSince.has(vmId);
  }

  /** Applies the current VM list; returns the ids of the VMs whose boot has timed out. */
  observe(vms: readonly Vm[], now: number): readonly string[] {
    const booting = new Set(vms.filter(({ address }) => address === '').map(({ id }) => id));
    for (const id of this.#bootingSince.keys()) if (!booting.has(id)) this.#bootingSince.delete(id);
    for (const id of booting) if (!this.#bootingSince.has(id)) this.#bootingSince.set(id, now);
    return [...this.#bootingSince]
      .filter(([, since]) => now - since >= this.#bootTimeoutMs)
      .map(([id]) => id);
  }
}
