import type { VmLabels } from './vm-labels.ts';

/** VM as listed by the platform. */
export interface VmRecord {
  readonly id: string;
  readonly role: 'entry' | 'endpoint';
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly state: 'live' | 'leaving';
  /** Network address `host:port`; empty until a process serves on the VM. */
  readonly address: string;
  readonly labels: VmLabels;
}
