import type { VmKind } from './vm-kind.ts';

/** Price of one kind of VM. */
export interface VmPrice extends VmKind {
  readonly pricePerHour: number;
}
