import * as z from 'zod';

const LogRecord = z
  .object({ offset: z.int().nonnegative(), id: z.string(), time: z.number(), body: z.unknown() })
  .readonly();

/** Answer to a read of the log. */
export const PageAnswer = z
  .object({
    records: z.array(LogRecord).readonly(),
    next: z.int().nonnegative(),
    first: z.int().nonnegative(),
  })
  .readonly();
export type PageAnswer = z.infer<typeof PageAnswer>;
