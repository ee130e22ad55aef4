import * as z from 'zod';
import { OriginVersion } from './origin-version.ts';

const MAX_ORIGINS = 1024;

/** Summary of the sender's state, from which the receiver determines the differences to send back. */
export const SyncRequest = z
  .strictObject({
    /** Requests the full state; set by a node that has no other members yet. */
    everything: z.boolean(),
    /** One hash per bucket of members. */
    buckets: z.array(z.string().max(16)).max(64).readonly(),
    /** One page of the sender's report versions by origin. */
    versions: z.array(OriginVersion).max(MAX_ORIGINS).readonly(),
  })
  .readonly();
export type SyncRequest = z.infer<typeof SyncRequest>;
