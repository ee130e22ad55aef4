import type { VmKind } from '../types/vm-kind.ts';

type UnitsByClass = Readonly<Record<string, number>>;

/** Returns the capacity that remains when the failure domain with the most reclaimable capacity loses it. */
export function protectedUnits(vms: readonly VmKind[], unitsByClass: UnitsByClass): number {
  const reclaimable = new Map<string, number>();
  let total = 0;
  for (const vm of vms) {
    const units = unitsByClass[vm.machineClass] ?? 0;
    total += units;
    if (!vm.reclaimable) continue;
    reclaimable.set(vm.failureDomain, (reclaimable.get(vm.failureDomain) ?? 0) + units);
  }
  return total - Math.max(0, ...reclaimable.values());
}
