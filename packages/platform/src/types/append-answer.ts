import * as z from 'zod';

/** Answer to an append to the log. */
export const AppendAnswer = z.object({ offset: z.int().nonnegative() }).readonly();
export type AppendAnswer = z.infer<typeof AppendAnswer>;
