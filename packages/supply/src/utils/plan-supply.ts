import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyDemand } from '../types/supply-demand.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { VmKind } from '../types/vm-kind.ts';
import { cheapestMix } from './cheapest-mix.ts';
import { kindKey } from './kind-key.ts';
import { offersOf } from './offers-of.ts';
import { planActions } from './plan-actions.ts';
import { protectedUnits } from './protected-units.ts';

const DEFAULT_ON_DEMAND_FLOOR = 0.2;
const DEFAULT_HOLD_DISCOUNT = 0.1;

interface Target {
  readonly kind: VmKind;
  readonly count: number;
}

function targetsFor(
  demand: SupplyDemand,
  held: ReadonlyMap<string, number>,
  input: SupplyInput,
): readonly Target[] {
  const { onDemandFloor = DEFAULT_ON_DEMAND_FLOOR, holdDiscount = DEFAULT_HOLD_DISCOUNT } =
    input.options;
  const need = { units: demand.units, onDemandUnits: demand.units * onDemandFloor };
  const targets = new Map<string, Target>();
  for (const [offer, taken] of cheapestMix(offersOf(demand, held, input), need, holdDiscount)) {
    const key = kindKey(offer.kind);
    const before = targets.get(key)?.count ?? 0;
    targets.set(key, { kind: offer.kind, count: before + taken });
  }
  return [...targets.values()];
}

/**
 * Plans the starts and returns of VMs: the cheapest mix by failure domain, machine class and
 * market that covers each demand even if any one failure domain loses its reclaimable VMs and
 * replacements are refused. Refused kinds are retried with exponential backoff. VMs are returned
 * only if the remaining live ones cover the demand.
 */
export function planSupply(input: SupplyInput): readonly SupplyAction[] {
  return planActions(input, {
    targetsOf: (demand, held) => targetsFor(demand, held, input),
    capacityOf: protectedUnits,
  });
}
