import * as z from 'zod';

/** The most recent lease of one job. */
export const LeaseRecord = z.strictObject({
  holder: z.string(),
  /** Fencing token: the position of the acquiring entry. */
  fence: z.number(),
  /** Position of the entry that last set `endsAtMs`. */
  grantedBy: z.number(),
  /** End in log time, in milliseconds since the epoch. */
  endsAtMs: z.number(),
  released: z.boolean(),
  /** Fencing tokens of earlier leases of the job, newest first. */
  earlierFences: z.array(z.number()).readonly().default([]),
});
export type LeaseRecord = Readonly<z.infer<typeof LeaseRecord>>;
