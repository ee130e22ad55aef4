import * as z from 'zod';

/** Required capacity of a service, maintained by starting and returning VMs. */
export const Capacity = z
  .strictObject({
    /** Runners that must remain when the reclaimable VMs of any one failure domain are lost. */
    runners: z.int().nonnegative(),
    /** The only suitable class of VM; when absent, every class with a price is suitable. */
    machineClass: z.string().min(1).max(63).optional(),
  })
  .readonly();
export type Capacity = z.infer<typeof Capacity>;
