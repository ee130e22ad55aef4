import { z } from 'zod';
import { ClaimRecord } from './claim-record.ts';

/** Fold of the stream `claims`; plain JSON, so that it can be kept in snapshots. */
export const ClaimState = z.strictObject({
  /** Latest entry time seen, in milliseconds since the epoch. */
  logTimeMs: z.number(),
  retentionMs: z.number().positive(),
  /** Records by hash bucket, then by record name; an update copies one bucket only. */
  buckets: z.array(z.record(z.string(), ClaimRecord.readonly()).readonly()).min(1).readonly(),
});
export type ClaimState = Readonly<z.infer<typeof ClaimState>>;
