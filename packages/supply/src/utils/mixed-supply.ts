import type { SupplyAction } from '../types/supply-action.ts';
import type { SupplyInput } from '../types/supply-input.ts';
import type { SupplyPolicy } from '../types/supply-policy.ts';
import { planSupply } from './plan-supply.ts';

/** The cheapest mix that survives the loss of a failure domain's reclaimable VMs. */
export class MixedSupply implements SupplyPolicy {
  readonly name = 'mixed';

  plan(input: SupplyInput): readonly SupplyAction[] {
    return planSupply(input);
  }
}
