import * as z from 'zod';

/** Irrevocable mark by one node that the new version of a move is bad. */
export const BadMark = z
  .strictObject({
    moveId: z.string().min(1),
    nodeId: z.string().min(1),
    /** Wall-clock time in milliseconds. */
    at: z.number(),
    reason: z.string(),
  })
  .readonly();
export type BadMark = z.infer<typeof BadMark>;
