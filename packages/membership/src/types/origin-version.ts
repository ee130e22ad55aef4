import * as z from 'zod';

/** Newest version known of one origin's entry; the receiver answers with a newer entry when it has one. */
export const OriginVersion = z
  .strictObject({
    nodeId: z.string().min(1).max(128),
    incarnation: z.number().int().nonnegative(),
    version: z.number().int().min(-1),
  })
  .readonly();
export type OriginVersion = z.infer<typeof OriginVersion>;
