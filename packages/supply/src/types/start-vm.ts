import type { VmKind } from './vm-kind.ts';

/** Request to start a VM; idempotent by its request id. */
export interface StartVm extends VmKind {
  readonly action: 'start';
  readonly requestId: string;
  readonly labels: Readonly<Record<string, string>>;
}
