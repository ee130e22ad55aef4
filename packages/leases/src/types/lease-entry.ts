import * as z from 'zod';

const job = z.string().min(1);
const holder = z.string().min(1);
const durationMs = z.number().int().positive();
/** Fencing token: the log position of the entry that acquired the lease. */
const fence = z.number().int().nonnegative();

/** Body of a log entry in the stream `leases`. */
export const LeaseEntry = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('acquire'), job, holder, durationMs }),
  z.strictObject({ type: z.literal('renew'), job, holder, fence, durationMs }),
  z.strictObject({ type: z.literal('release'), job, holder, fence }),
]);
export type LeaseEntry = Readonly<z.infer<typeof LeaseEntry>>;
