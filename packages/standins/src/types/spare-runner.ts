import type { VmLabels } from './vm-labels.ts';

/** Runner that waits for the cloud API to start a VM for it. */
export interface SpareRunner {
  readonly failureDomain: string;
  readonly address: string;
  /** URL of its control interface, which works while the runner refuses connections. */
  readonly control: string;
  /** VMs with these labels can take the runner. */
  readonly labels: VmLabels;
}
