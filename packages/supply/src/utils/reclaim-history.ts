import type { ReclaimRate } from '../types/reclaim-rate.ts';
import type { VmKind } from '../types/vm-kind.ts';

const MS_PER_HOUR = 3_600_000;
/** Time in which the weight of what was seen falls to 1/e. */
const MEMORY_MS = 6 * MS_PER_HOUR;
/** Reclaims assumed in `PRIOR_HOURS` hours before any were seen. */
const PRIOR_RECLAIMS = 0.05;
const PRIOR_HOURS = 1;

interface Record {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaims: number;
  readonly vmHours: number;
}

/** Reclaim rates by failure domain and machine class, with old observations fading. */
export class ReclaimHistory {
  readonly #records = new Map<string, Record>();
  #observedAt: number | undefined;

  /** Notes the reclaimable VMs that were held since the last call and those reclaimed meanwhile. */
  observe(held: readonly VmKind[], reclaimed: readonly VmKind[], now: number): void {
    const elapsedMs = Math.max(0, now - (this.#observedAt ?? now));
    this.#observedAt = now;
    const fade = Math.exp(-elapsedMs / MEMORY_MS);
    for (const [key, record] of this.#records) {
      const { reclaims, vmHours } = record;
      this.#records.set(key, { ...record, reclaims: reclaims * fade, vmHours: vmHours * fade });
    }
    for (const kind of held) this.#add(kind, 0, elapsedMs / MS_PER_HOUR);
    for (const kind of reclaimed) this.#add(kind, 1, 0);
  }

  /** Reclaims per VM-hour of every kind seen. */
  rates(): readonly ReclaimRate[] {
    return [...this.#records.values()].map(
      ({ failureDomain, machineClass, reclaims, vmHours }) => ({
        failureDomain,
        machineClass,
        perHour: (reclaims + PRIOR_RECLAIMS) / (vmHours + PRIOR_HOURS),
      }),
    );
  }

  #add(kind: VmKind, reclaims: number, vmHours: number): void {
    if (!kind.reclaimable) return;
    const { failureDomain, machineClass } = kind;
    const key = `${failureDomain} ${machineClass}`;
    const before = this.#records.get(key);
    this.#records.set(key, {
      failureDomain,
      machineClass,
      reclaims: (before?.reclaims ?? 0) + reclaims,
      vmHours: (before?.vmHours ?? 0) + vmHours,
    });
  }
}
