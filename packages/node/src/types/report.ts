import * as z from 'zod';
import { BadMark, Evidence } from '@ragwortrudder/moves';

/** What each node tells the others about itself, exchanged with the membership. */
export const Report = z
  .strictObject({
    /** Stream of tickets as far as this node has applied it. */
    tickets: z.strictObject({ next: z.number().int(), hash: z.string() }).readonly(),
    /** True while the node takes no new requests. */
    draining: z.boolean(),
    /** What the node saw of versions that take over. */
    evidence: Evidence,
    badMarks: z.array(BadMark).readonly(),
    /** VMs with a reclaim notice. */
    leavingVms: z.array(z.string()).readonly(),
    /** VMs that this node drains to return them. */
    returningVms: z.array(z.string()).readonly().optional(),
  })
  .readonly();
export type Report = z.infer<typeof Report>;
