import * as z from 'zod';

/** Final outcome of a request that failed, as the node reports it. */
export const FailedOutcome = z
  .object({
    code: z.string(),
    title: z.string(),
    retryable: z.boolean(),
    notRun: z.boolean(),
    retryAfterMs: z.number().optional(),
  })
  .readonly();
export type FailedOutcome = z.infer<typeof FailedOutcome>;
