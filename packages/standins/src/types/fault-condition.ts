import * as z from 'zod';

/** Restricts a runner fault to certain requests. All given conditions must hold. */
export const FaultCondition = z
  .strictObject({
    /** Holds only while more than this number of requests are running or queued. */
    aboveRunning: z.number().optional(),
    /** Holds only once the runner has received more than this number of requests since it started. */
    afterRequests: z.number().optional(),
    /** Holds only for requests whose text contains this marker. */
    marker: z.string().optional(),
  })
  .readonly();
export type FaultCondition = z.infer<typeof FaultCondition>;
