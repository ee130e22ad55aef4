import * as z from 'zod';

/**
 * Answer to a replica update: `ok`; `superseded` when a later owner exists, so that the sender must
 * stop; `missing` when the replica holds no such request or lacks earlier events.
 */
export const ReplicaVerdict = z.enum(['ok', 'superseded', 'missing']);
export type ReplicaVerdict = z.infer<typeof ReplicaVerdict>;
