import * as z from 'zod';

/** The last effective lease of one job. */
export const LeaseRecord = z.strictObject({
  holder: z.string(),
  /** Fencing number: the position of the acquiring entry. */
  fence: z.number(),
  /** Position of the last entry that set the end. */
  grantedBy: z.number(),
  /** End by log time, in milliseconds since the epoch. */
  endsAtMs: z.number(),
  released: z.boolean(),
  /** Fencing numbers of earlier leases of the job, the newest first. */
  earlierFences: z.array(z.number()).readonly().default([]),
});
export type LeaseRecord = Readonly<z.infer<typeof LeaseRecord>>;
