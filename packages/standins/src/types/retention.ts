import * as z from 'zod';

/** Retention limits of the log; each limit is optional. */
export const Retention = z
  .strictObject({
    /** Maximum age of a record in milliseconds; older records expire. */
    ageMs: z.number().nonnegative().optional(),
    /** Number of newest records retained in each stream. */
    count: z.int().nonnegative().optional(),
  })
  .readonly();
export type Retention = z.infer<typeof Retention>;
