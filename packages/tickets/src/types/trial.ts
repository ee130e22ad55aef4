import * as z from 'zod';

/** Limits on the traffic that a new version receives while it is on trial. */
export const Trial = z
  .strictObject({
    /** Maximum share of requests, from 0 to 1. */
    share: z.number().gt(0).lte(1).optional(),
    /** Maximum number of requests before the first verdict. */
    requests: z.int().positive().optional(),
    /** Minimum duration of each stage in milliseconds. */
    stageMs: z.int().positive().optional(),
  })
  .readonly();
export type Trial = z.infer<typeof Trial>;
