import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyPolicy } from '../types/supply-policy.ts';
import { cheapestKind } from './cheapest-kind.ts';
import { planActions } from './plan-actions.ts';
import { totalUnits } from './total-units.ts';

/** Baseline policy: only on-demand VMs of the cheapest kind. */
export class OnDemandSupply implements SupplyPolicy {
  readonly name = 'on-demand';

  plan(input: SupplyInput): readonly SupplyAction[] {
    const prices = input.prices.filter(({ reclaimable }) => !reclaimable);
    return planActions(input, {
      targetsOf: (demand) => cheapestKind(demand, prices),
      capacityOf: totalUnits,
    });
  }
}
