import type { ReclaimRate } from '../types/reclaim-rate.ts';
import type { VmKind } from '../types/vm-kind.ts';

const MS_PER_HOUR = 3_600_000;
/** Time constant in which the weight of an observation decays to 1/e. */
const DECAY_TIME_MS = 6 * MS_PER_HOUR;
/** Prior: reclaims assumed per `PRIOR_HOURS` VM-hours. */
const PRIOR_RECLAIMS = 0.05;
const PRIOR_HOURS = 1;

interface KindObservations {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaims: number;
  readonly vmHours: number;
}

/** Estimates reclaim rates by failure domain and machine class, with exponential decay of old observations. */
export class ReclaimHistory {
  readonly #records = new Map<string, KindObservations>();
  #observedAt: number | undefined;

  /** Records the VMs held and the VMs reclaimed since the last call; only reclaimable ones are counted. */
  observe(held: readonly VmKind[], reclaimed: readonly VmKind[], now: number): void {
    const elapsedMs = Math.max(0, now - (this.#observedAt ?? now));
    this.#observedAt = now;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_MS);
    for (const [key, record] of this.#records) {
      const { reclaims, vmHours } = record;
      this.#records.set(key, { ...record, reclaims: reclaims * decay, vmHours: vmHours * decay });
    }
    for (const kind of held) this.#add(kind, 0, elapsedMs / MS_PER_HOUR);
    for (const kind of reclaimed) this.#add(kind, 1, 0);
  }

  /** Returns the estimated reclaims per VM-hour of every observed kind. */
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
