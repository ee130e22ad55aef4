import type { VmKind } from './vm-kind.ts';

/** Start of a VM; idempotent by its request id. */
export interface StartVm extends VmKind {
  readonly action: 'start';
  readonly requestId: string;
  readonly labels: Readonly<Record<string, string>>;
}
