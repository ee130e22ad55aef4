import * as z from 'zod';

/** Entry of the platform's list of VMs, which lags behind their actual state. */
export const Vm = z
  .object({
    id: z.string(),
    role: z.enum(['entry', 'endpoint']),
    failureDomain: z.string(),
    machineClass: z.string(),
    reclaimable: z.boolean(),
    state: z.enum(['live', 'leaving']),
    address: z.string(),
    labels: z
      .object({
        service: z.string().optional(),
        version: z.string().optional(),
        kind: z.enum(['model', 'application']).optional(),
      })
      .readonly(),
  })
  .readonly();
export type Vm = z.infer<typeof Vm>;
