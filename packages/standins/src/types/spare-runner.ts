import * as z from 'zod';
import { VmLabels } from './vm-labels.ts';

/** Runner that waits for the cloud API to start a VM for it. */
export const SpareRunner = z
  .strictObject({
    failureDomain: z.string(),
    address: z.string(),
    /** URL of its control interface, which stays reachable while the runner refuses connections. */
    control: z.url(),
    /** Labels of the VMs to which the runner can be assigned. */
    labels: VmLabels,
  })
  .readonly();
export type SpareRunner = z.infer<typeof SpareRunner>;
