import * as z from 'zod';

/** Answer to a read of records that are no longer retained. */
export const ExpiredAnswer = z
  .object({ first: z.int().nonnegative(), next: z.int().nonnegative() })
  .readonly();
export type ExpiredAnswer = z.infer<typeof ExpiredAnswer>;
