import * as z from 'zod';

/** Body of an error answer: problem details as defined by RFC 9457. */
export const Problem = z
  .object({
    title: z.string(),
    status: z.number(),
    detail: z.string().default(''),
    code: z.string(),
    retryable: z.boolean(),
    notRun: z.boolean(),
    retryAfterMs: z.number().optional(),
  })
  .readonly();
export type Problem = z.infer<typeof Problem>;
