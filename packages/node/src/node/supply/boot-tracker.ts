import type { Vm } from '@ragwortrudder/platform';

/** Tells which VMs have no address yet, and which have had none for too long. */
export class BootTracker {
  readonly #bootTimeoutMs: number;
  readonly #bootingSince = new Map<string, number>();

  /** @param bootTimeoutMs - time in milliseconds within which a VM has to get an address */
  constructor(bootTimeoutMs: number) {
    this.#bootTimeoutMs = bootTimeoutMs;
  }

  /** True while nothing serves on the VM yet. */
  isBooting(vmId: string): boolean {
    return this.#bootingSince.has(vmId);
  }

  /** Takes in the list; returns the VMs that are not to be waited for any longer. */
  observe(vms: readonly Vm[], now: number): readonly string[] {
    const booting = new Set(vms.filter(({ address }) => address === '').map(({ id }) => id));
    for (const id of this.#bootingSince.keys()) if (!booting.has(id)) this.#bootingSince.delete(id);
    for (const id of booting) if (!this.#bootingSince.has(id)) this.#bootingSince.set(id, now);
    return [...this.#bootingSince]
      .filter(([, since]) => now - since >= this.#bootTimeoutMs)
      .map(([id]) => id);
  }
}
