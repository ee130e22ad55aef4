import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyPolicy } from '../types/supply-policy.ts';
import { planSupply } from './plan-supply.ts';

/** Policy that holds the cheapest mix able to lose the reclaimable VMs of any one failure domain. */
export class MixedSupply implements SupplyPolicy {
  readonly name = 'mixed';

  plan(input: SupplyInput): readonly SupplyAction[] {
    return planSupply(input);
  }
}
