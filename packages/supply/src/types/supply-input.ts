import type { ReclaimRate } from './reclaim-rate.ts';
import type { SupplyDemand } from './supply-demand.ts';
import type { SupplyPlanOptions } from './supply-plan-options.ts';
import type { SupplyVm } from './supply-vm.ts';
import type { VmPrice } from './vm-price.ts';
import type { VmRefusal } from './vm-refusal.ts';

/** Input of the supply plan. */
export interface SupplyInput {
  readonly demand: readonly SupplyDemand[];
  readonly prices: readonly VmPrice[];
  readonly reclaimRates: readonly ReclaimRate[];
  readonly refusals: readonly VmRefusal[];
  readonly current: readonly SupplyVm[];
  readonly options: SupplyPlanOptions;
}
