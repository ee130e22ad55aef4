import * as z from 'zod';

/**
 * Result of a replica update: `ok`; `superseded` when a later owner exists, so that the sender must
 * stop; `missing` when the replica does not have the request or lacks earlier events.
 */
export const ReplicaVerdict = z.enum(['ok', 'superseded', 'missing']);
export type ReplicaVerdict = z.infer<typeof ReplicaVerdict>;
