import * as z from 'zod';

/** Limits a fault of a runner to some requests; all given conditions must hold. */
export const FaultCondition = z
  .strictObject({
    /** Holds only while more than this number of requests run. */
    aboveRunning: z.number().optional(),
    /** Holds only after this number of requests, counted since the start of the runner. */
    afterRequests: z.number().optional(),
    /** Holds only for requests whose text contains this marker. */
    marker: z.string().optional(),
  })
  .readonly();
export type FaultCondition = z.infer<typeof FaultCondition>;
