import type { SupplyVm } from './supply-vm.ts';

/** A VM in the platform's list. */
export interface ListedVm extends Omit<SupplyVm, 'state'> {
  readonly state: 'live' | 'leaving';
}
