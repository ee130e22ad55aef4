import * as z from 'zod';

const MAX_PARTS = 4096;

/** Body of a log entry that contains one part of a snapshot. */
export const SnapshotPart = z
  .strictObject({
    kind: z.literal('snapshot-part'),
    /** Identifier shared by all parts of one snapshot. */
    snapshot: z.string(),
    index: z.int().nonnegative(),
    count: z.int().positive().max(MAX_PARTS),
    /** Offset of the first record that the snapshot does not cover. */
    next: z.int().nonnegative(),
    /** Chained hash of the stream before `next`. */
    hash: z.string(),
    /** Base64-encoded piece of the compressed state. */
    data: z.string(),
    /** Digest of the complete snapshot; present only on the last part. */
    digest: z.string().optional(),
  })
  .readonly();
export type SnapshotPart = z.infer<typeof SnapshotPart>;
