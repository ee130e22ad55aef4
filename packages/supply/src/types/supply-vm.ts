import type { VmKind } from './vm-kind.ts';

/** A VM that is held, or that was requested and may exist. */
export interface SupplyVm extends VmKind {
  /** Platform id of the VM, or the request id while the platform has not returned one. */
  readonly id: string;
  readonly state: 'live' | 'leaving' | 'pending';
  readonly labels: Readonly<Record<string, string>>;
}
