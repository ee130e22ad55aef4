import * as z from 'zod';
import { OriginVersion } from './origin-version.ts';

const MAX_ORIGINS = 1024;

/** What the sender holds, so that the receiver can answer with what differs. */
export const SyncRequest = z
  .strictObject({
    /** True for a node that knows nobody yet and wants everything. */
    everything: z.boolean(),
    /** One hash for each bucket of members. */
    buckets: z.array(z.string().max(16)).max(64).readonly(),
    /** One page of the origins of reports that the sender holds. */
    versions: z.array(OriginVersion).max(MAX_ORIGINS).readonly(),
  })
  .readonly();
export type SyncRequest = z.infer<typeof SyncRequest>;
