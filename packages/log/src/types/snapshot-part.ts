import * as z from 'zod';

const MAX_PARTS = 4096;

/** Body of a log entry with one part of a snapshot. */
export const SnapshotPart = z
  .strictObject({
    kind: z.literal('snapshot-part'),
    /** Identifier shared by the parts of one snapshot. */
    snapshot: z.string(),
    index: z.int().nonnegative(),
    count: z.int().positive().max(MAX_PARTS),
    /** Offset of the first record that the snapshot does not cover. */
    next: z.int().nonnegative(),
    /** Chained hash of the stream before `next`. */
    hash: z.string(),
    /** Piece of the compressed state in base64. */
    data: z.string(),
    /** Digest over the whole snapshot; on the last part only. */
    digest: z.string().optional(),
  })
  .readonly();
export type SnapshotPart = z.infer<typeof SnapshotPart>;
