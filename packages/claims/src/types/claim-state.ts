import * as z from 'zod';
import { ClaimRecord } from './claim-record.ts';

const Bucket = z.array(ClaimRecord.readonly()).readonly();
const Shard = z.record(z.string(), Bucket).readonly();

/** Fold of the stream `claims`; plain JSON, so that it can be kept in snapshots. */
export const ClaimState = z.strictObject({
  /** Latest entry time seen, in milliseconds since the epoch. */
  logTimeMs: z.number(),
  retentionMs: z.number().positive(),
  /** Number of effective entries; decides which shard is swept next. */
  writes: z.number().int().nonnegative(),
  /** Records by shard and bucket, so that an update copies a small part only. */
  shards: z.record(z.string(), Shard).readonly(),
});
export type ClaimState = Readonly<z.infer<typeof ClaimState>>;
