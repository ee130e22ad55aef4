import * as z from 'zod';
import { LeaseRecord } from './lease-record.ts';

/** Fold of the stream `leases`; plain JSON, so that it can be kept in snapshots. */
export const LeaseState = z.strictObject({
  /** Latest entry time seen, in milliseconds since the epoch. */
  logTimeMs: z.number(),
  /** Position of the last entry seen; -1 before the first. */
  position: z.number(),
  jobs: z.record(z.string(), LeaseRecord.readonly()).readonly(),
});
export type LeaseState = Readonly<z.infer<typeof LeaseState>>;
