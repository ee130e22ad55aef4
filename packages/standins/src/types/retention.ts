import * as z from 'zod';

/** Limits after which the log forgets records; each limit is optional. */
export const Retention = z
  .strictObject({
    /** Age in milliseconds from which a record is forgotten. */
    ageMs: z.number().nonnegative().optional(),
    /** Number of newest records kept in each stream. */
    count: z.int().nonnegative().optional(),
  })
  .readonly();
export type Retention = z.infer<typeof Retention>;
