import * as z from 'zod';

/** Value published by one incarnation of a node; a larger incarnation, then a larger version, wins. */
export const SoftStateEntry = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    incarnation: z.number().int().nonnegative(),
    version: z.number().int().nonnegative(),
    /** True when the entry is to reach every node as fast as a change of members. */
    urgent: z.boolean().optional(),
    value: z.unknown(),
  })
  .readonly();
export type SoftStateEntry = z.infer<typeof SoftStateEntry>;
