import * as z from 'zod';
import { Gossip } from './gossip.ts';
import { SyncRequest } from './sync-request.ts';

/** Liveness probe with piggybacked gossip and an optional synchronization request. */
export const ProbeMessage = z
  .strictObject({
    fromNode: z.string().min(1).max(128),
    fromIncarnation: z.number().int().nonnegative(),
    gossip: Gossip,
    sync: SyncRequest.optional(),
  })
  .readonly();
export type ProbeMessage = z.infer<typeof ProbeMessage>;
