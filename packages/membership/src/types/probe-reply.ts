import * as z from 'zod';
import { Gossip } from './gossip.ts';

/** Reply to a probe. */
export const ProbeReply = z
  .strictObject({
    fromNode: z.string().min(1).max(128),
    fromIncarnation: z.number().int().nonnegative(),
    gossip: Gossip,
    /** Bucket hashes of the responder's members; present when the probe requested a synchronization. */
    buckets: z.array(z.string().max(16)).max(64).readonly().optional(),
  })
  .readonly();
export type ProbeReply = z.infer<typeof ProbeReply>;
