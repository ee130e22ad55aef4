import type { VmKind } from './vm-kind.ts';

/** A VM that is held, or that was asked for and may exist. */
export interface SupplyVm extends VmKind {
  /** Platform id; for a pending request its request id. */
  readonly id: string;
  readonly state: 'live' | 'leaving' | 'pending';
  readonly labels: Readonly<Record<string, string>>;
}
