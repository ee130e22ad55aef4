import * as z from 'zod';

/** State of one incarnation of a node; nodes exchange it in the same shape. */
export const Member = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    /** Start time of the process; increases with every restart. */
    incarnation: z.number().int().nonnegative(),
    failureDomain: z.string().min(1).max(128),
    region: z.string().min(1).max(128),
    /** Address that other nodes connect to, `host:port`. */
    peerAddress: z.string().min(1).max(256),
    /** Address that callers connect to, `host:port`. */
    callerAddress: z.string().min(1).max(256),
    state: z.enum(['alive', 'suspect', 'left', 'dead']),
    /** Counter that the member itself increments to refute a suspicion. */
    refutation: z.number().int().nonnegative(),
  })
  .readonly();
export type Member = z.infer<typeof Member>;
