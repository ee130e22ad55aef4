import * as z from 'zod';

/** Final outcome of a request that did not complete. */
export const Outcome = z
  .strictObject({
    code: z.string(),
    title: z.string(),
    /** True when the same request can succeed later. */
    retryable: z.boolean(),
    /** True only when it is proven that no runner received the request. */
    notRun: z.boolean(),
    retryAfterMs: z.number().optional(),
  })
  .readonly();
export type Outcome = z.infer<typeof Outcome>;
