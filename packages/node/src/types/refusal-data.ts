import * as z from 'zod';

/** Serialized failure that one node sends to another. */
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
