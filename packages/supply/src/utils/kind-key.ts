import type { VmKind } from '../types/vm-kind.ts';

/** Returns a key that is equal for VMs of the same kind. */
export function kindKey(kind: VmKind): string {
  const market = kind.reclaimable ? 'reclaimable' : 'on-demand';
  return `${kind.failureDomain} ${kind.machineClass} ${market}`;
}
