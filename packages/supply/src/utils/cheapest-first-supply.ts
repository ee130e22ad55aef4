import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyPolicy } from '../types/supply-policy.ts';
import { cheapestKind } from './cheapest-kind.ts';
import { planActions } from './plan-actions.ts';
import { totalUnits } from './total-units.ts';

/** Baseline policy: only VMs of the cheapest kind, regardless of reclaims and refusals. */
export class CheapestFirstSupply implements SupplyPolicy {
  readonly name = 'cheapest-first';

  plan(input: SupplyInput): readonly SupplyAction[] {
    return planActions(input, {
      targetsOf: (demand) => cheapestKind(demand, input.prices),
      capacityOf: totalUnits,
    });
  }
}
