import type { SupplyAction } from './supply-action.ts';
import type { SupplyInput } from './supply-input.ts';

/** Strategy that decides which VMs to start and return. */
export interface SupplyPolicy {
  readonly name: string;
  plan(input: SupplyInput): readonly SupplyAction[];
}
