import * as z from 'zod';

/** Price of VMs of a machine class in a failure domain. */
export const Price = z
  .object({
    failureDomain: z.string(),
    machineClass: z.string(),
    reclaimable: z.boolean(),
    pricePerHour: z.number().nonnegative(),
  })
  .readonly();
export type Price = z.infer<typeof Price>;
