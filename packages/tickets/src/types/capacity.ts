import * as z from 'zod';

/** Capacity of a service that is kept up by starting and returning VMs. */
export const Capacity = z
  .strictObject({
    /** Runners that are left when any one failure domain's reclaimable VMs are gone. */
    runners: z.int().nonnegative(),
    /** Only class of VM that is suitable; without it every class with a price is. */
    machineClass: z.string().min(1).max(63).optional(),
  })
  .readonly();
export type Capacity = z.infer<typeof Capacity>;
