import type { SupplyDemand } from '../types/supply-demand.ts';
import type { VmKind } from '../types/vm-kind.ts';
import type { VmPrice } from '../types/vm-price.ts';

/** Returns the kind with the lowest price per unit and the number of VMs that covers the demand. */
export function cheapestKind(
  demand: SupplyDemand,
  prices: readonly VmPrice[],
): readonly { readonly kind: VmKind; readonly count: number }[] {
  const unitsOf = (price: VmPrice): number => demand.unitsByClass[price.machineClass] ?? 0;
  const [best] = prices
    .filter((price) => unitsOf(price) > 0)
    .sort((a, b) => a.pricePerHour / unitsOf(a) - b.pricePerHour / unitsOf(b));
  if (!best) return [];
  const { failureDomain, machineClass, reclaimable } = best;
  const count = Math.ceil(demand.units / unitsOf(best));
  return [{ kind: { failureDomain, machineClass, reclaimable }, count }];
}
