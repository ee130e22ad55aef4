import * as z from 'zod';
import { BadMark, Evidence } from '@ragwortrudder/moves';

/**
 * Report that each node publishes to its peers about itself, carried by the membership protocol.
 */
export const Report = z
  .strictObject({
    /** Position in the stream of tickets up to which this node has applied it. */
    tickets: z.strictObject({ next: z.number().int(), hash: z.string() }).readonly(),
    /** True while the node accepts no new requests. */
    draining: z.boolean(),
    /** What the node observed of the new versions in rollouts. */
    evidence: Evidence,
    badMarks: z.array(BadMark).readonly(),
    /** VMs with a reclaim notice. */
    leavingVms: z.array(z.string()).readonly(),
    /** VMs that this node drains in order to return them to the platform. */
    returningVms: z.array(z.string()).readonly().optional(),
  })
  .readonly();
export type Report = z.infer<typeof Report>;
