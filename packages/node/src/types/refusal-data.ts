import * as z from 'zod';

/** A failure as one node tells it to another. */
export const RefusalData = z
  .strictObject({
    code: z.string(),
    message: z.string(),
    hint: z.string(),
    status: z.number().int(),
    retryable: z.boolean(),
    notRun: z.boolean(),
    retryAfterMs: z.number().optional(),
  })
  .readonly();
export type RefusalData = z.infer<typeof RefusalData>;
