import type { SupplyDemand } from '../types/supply-demand.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyOffer } from '../types/supply-offer.ts';
import type { VmPrice } from '../types/vm-price.ts';
import { backoffUntil } from './backoff-until.ts';
import { kindKey } from './kind-key.ts';

const DEFAULT_RECLAIM_COST = 0.05;

/** Returns the price per hour including the expected cost of reclaims. */
function costOf(price: VmPrice, input: SupplyInput): number {
  if (!price.reclaimable) return price.pricePerHour;
  const rate = input.reclaimRates.find(
    (item) =>
      item.failureDomain === price.failureDomain && item.machineClass === price.machineClass,
  );
  const reclaimCost = input.options.reclaimCost ?? DEFAULT_RECLAIM_COST;
  return price.pricePerHour + (rate?.perHour ?? 0) * reclaimCost;
}

/** Returns the held VMs and the startable kinds that suit a demand, ordered by cost per unit. */
export function offersOf(
  demand: SupplyDemand,
  held: ReadonlyMap<string, number>,
  input: SupplyInput,
): readonly SupplyOffer[] {
  const { now } = input.options;
  const offers: SupplyOffer[] = [];
  for (const price of input.prices) {
    const { failureDomain, machineClass, reclaimable } = price;
    const units = demand.unitsByClass[machineClass] ?? 0;
    if (units <= 0) continue;
    const kind = { failureDomain, machineClass, reclaimable };
    const cost = costOf(price, input);
    const base = { kind, units, cost, costPerUnit: cost / units };
    const count = held.get(kindKey(kind)) ?? 0;
    if (count > 0) offers.push({ ...base, isHeld: true, count });
    const isRefused = backoffUntil(kind, input.refusals, input.options) > now;
    if (!isRefused) offers.push({ ...base, isHeld: false, count: Infinity });
  }
  const nameOf = ({ kind }: SupplyOffer): string => kindKey(kind);
  return offers.sort(
    (a, b) =>
      a.costPerUnit - b.costPerUnit ||
      Number(b.isHeld) - Number(a.isHeld) ||
      (nameOf(a) < nameOf(b) ? -1 : 1),
  );
}
