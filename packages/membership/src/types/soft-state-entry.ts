import * as z from 'zod';

/** Value published by one incarnation of a node. The larger incarnation wins, then the larger version. */
export const SoftStateEntry = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    incarnation: z.number().int().nonnegative(),
    version: z.number().int().nonnegative(),
    /** True when the entry is gossiped with the priority of a membership update. */
    urgent: z.boolean().optional(),
    value: z.unknown(),
  })
  .readonly();
export type SoftStateEntry = z.infer<typeof SoftStateEntry>;
