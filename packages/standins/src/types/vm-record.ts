import type { VmLabels } from './vm-labels.ts';

/** VM as the platform lists it. */
export interface VmRecord {
  readonly id: string;
  readonly role: 'entry' | 'endpoint';
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaimable: boolean;
  readonly state: 'live' | 'leaving';
  /** Network address `host:port`, empty until something serves on the VM. */
  readonly address: string;
  readonly labels: VmLabels;
}
