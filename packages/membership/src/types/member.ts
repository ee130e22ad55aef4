import * as z from 'zod';

/** One life of one node as known to the members; the same shape is exchanged between nodes. */
export const Member = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    /** Start time of this life; a restarted node has a larger one. */
    incarnation: z.number().int().nonnegative(),
    failureDomain: z.string().min(1).max(128),
    region: z.string().min(1).max(128),
    /** Address for other nodes, `host:port`. */
    peerAddress: z.string().min(1).max(256),
    /** Address for callers, `host:port`. */
    callerAddress: z.string().min(1).max(256),
    state: z.enum(['alive', 'suspect', 'left', 'dead']),
    /** Raised by the member itself to refute a suspicion. */
    refutation: z.number().int().nonnegative(),
  })
  .readonly();
export type Member = z.infer<typeof Member>;
