import * as z from 'zod';

/** Reclaim notice of a VM. */
export const ReclaimNotice = z
  .object({
    seq: z.int().nonnegative(),
    vmId: z.string(),
    /** Time of the reclaim in milliseconds since the Unix epoch. */
    deadline: z.number(),
  })
  .readonly();
export type ReclaimNotice = z.infer<typeof ReclaimNotice>;
