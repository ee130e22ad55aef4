import * as z from 'zod';
import { HashedRecord } from './hashed-record.ts';

/** Part of a stream that one follower sends to another. */
export const Prefix = z
  .strictObject({
    /** Point at which `records` starts: the offset of its first record and the hash before it. */
    base: z.strictObject({ next: z.int().nonnegative(), hash: z.string() }).readonly(),
    /**
     * Serialized state at `base`; present when the sender no longer retains the requested records.
     */
    snapshot: z.strictObject({ data: z.unknown(), digest: z.string() }).readonly().optional(),
    records: z.array(HashedRecord).readonly(),
    /** Next offset of the sender; larger than the end of `records` when there is more to fetch. */
    next: z.int().nonnegative(),
    /** Time in milliseconds since the sender last confirmed that `next` was the end of the log. */
    lagMs: z.number().nonnegative(),
  })
  .readonly();
export type Prefix = z.infer<typeof Prefix>;
