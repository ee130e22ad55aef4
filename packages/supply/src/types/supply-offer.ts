import type { VmKind } from '../types/vm-kind.ts';

/** A kind of VM available to the plan, with its cost per unit of capacity and the available number. */
export interface SupplyOffer {
  readonly kind: VmKind;
  readonly units: number;
  /** Price per VM and hour, including the expected cost of reclaims. */
  readonly cost: number;
  readonly costPerUnit: number;
  /** True for VMs that are already held. */
  readonly isHeld: boolean;
  readonly count: number;
}
