import * as z from 'zod';
import { LeaseRecord } from './lease-record.ts';

/** State folded from the stream `leases`; plain JSON, so that it can be stored in snapshots. */
export const LeaseState = z.strictObject({
  /** Log time: the latest entry time so far, in milliseconds since the epoch. */
  logTimeMs: z.number(),
  /** Position of the last applied entry; -1 before the first. */
  position: z.number(),
  jobs: z.record(z.string(), LeaseRecord.readonly()).readonly(),
});
export type LeaseState = Readonly<z.infer<typeof LeaseState>>;
