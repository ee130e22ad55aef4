import * as z from 'zod';

/** Fair-share weight and limits of a tenant. */
export const TenantShare = z
  .strictObject({
    /** Weight in the fair sharing of capacity. */
    weight: z.number().positive(),
    maxConcurrent: z.int().positive(),
    maxQueued: z.int().nonnegative(),
  })
  .readonly();
export type TenantShare = z.infer<typeof TenantShare>;
