import * as z from 'zod';

/** Final word of a node on a request that did not complete. */
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
