import type { VmKind } from '../types/vm-kind.ts';

/** Returns the total capacity of VMs, assuming that none is reclaimed. */
export function totalUnits(
  vms: readonly VmKind[],
  unitsByClass: Readonly<Record<string, number>>,
): number {
  return vms.reduce((sum, { machineClass }) => sum + (unitsByClass[machineClass] ?? 0), 0);
}
