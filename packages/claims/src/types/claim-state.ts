import * as z from 'zod';
import { ClaimRecord } from './claim-record.ts';

const Bucket = z.array(ClaimRecord.readonly()).readonly();
const Shard = z.record(z.string(), Bucket).readonly();

/** State folded from the stream `claims`; plain JSON, so that it can be stored in snapshots. */
export const ClaimState = z.strictObject({
  /** Log time: the latest entry time so far, in milliseconds since the epoch. */
  logTimeMs: z.number(),
  retentionMs: z.number().positive(),
  /** Number of effective entries; determines which shard is swept next. */
  writes: z.number().int().nonnegative(),
  /** Records by shard and bucket, so that an update copies only a small part of the state. */
  shards: z.record(z.string(), Shard).readonly(),
});
export type ClaimState = Readonly<z.infer<typeof ClaimState>>;
