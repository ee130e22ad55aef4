import * as z from 'zod';

/** Limits of the traffic that a new version receives before it has proved itself. */
export const Trial = z
  .strictObject({
    /** Largest share of requests, from 0 to 1. */
    share: z.number().gt(0).lte(1).optional(),
    /** Largest number of requests before the first verdict. */
    requests: z.int().positive().optional(),
    /** Shortest length of each stage in milliseconds. */
    stageMs: z.int().positive().optional(),
  })
  .readonly();
export type Trial = z.infer<typeof Trial>;
