import type { VmKind } from '../types/vm-kind.ts';

/** A kind of VM as the plan sees it: what it costs per unit, and how many can be had. */
export interface SupplyOffer {
  readonly kind: VmKind;
  readonly units: number;
  /** Price per hour and VM, with the expected cost of reclaims. */
  readonly cost: number;
  readonly costPerUnit: number;
  /** True for VMs that are held already. */
  readonly isHeld: boolean;
  readonly count: number;
}
