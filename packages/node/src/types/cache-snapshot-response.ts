import * as z from 'zod';

/** Response of a model engine to `GET /cache/snapshot`. */
export const CacheSnapshotResponse = z
  .object({ seq: z.number(), prefixes: z.array(z.string()).readonly() })
  .readonly();
export type CacheSnapshotResponse = z.infer<typeof CacheSnapshotResponse>;
