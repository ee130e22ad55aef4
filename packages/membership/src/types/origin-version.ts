import * as z from 'zod';

/** Newest version of one origin's entry at the sender; the receiver replies with its own entry if that is newer. */
export const OriginVersion = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    incarnation: z.number().int().nonnegative(),
    version: z.number().int().min(-1),
  })
  .readonly();
export type OriginVersion = z.infer<typeof OriginVersion>;
