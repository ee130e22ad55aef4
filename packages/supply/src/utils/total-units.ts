import type { VmKind } from '../types/vm-kind.ts';

/** Capacity of VMs while none of them is reclaimed. */
export function totalUnits(
  vms: readonly VmKind[],
  unitsByClass: Readonly<Record<string, number>>,
): number {
  return vms.reduce((sum, { machineClass }) => sum + (unitsByClass[machineClass] ?? 0), 0);
}
