import * as z from 'zod';
import { Capacity } from './capacity.ts';
import { Trial } from './trial.ts';

const Version = z.string().min(1).max(128);
const Deadline = z.union([
  z.int().nonnegative(),
  z.iso.datetime({ offset: true }).transform((text) => Date.parse(text)),
]);

/** Whole wanted state of a service. */
export const Service = z
  .strictObject({
    kind: z.enum(['model', 'application']),
    version: Version,
    /** Version that serves until the move ends, for a service that has no effective version yet. */
    previous: Version.optional(),
    /** Time by which `version` has to carry all traffic; ISO 8601 or milliseconds since the Unix epoch. */
    takeoverBy: Deadline.optional(),
    /** True when the endpoints refuse orders with an old fencing number. */
    fencing: z.boolean(),
    /** False when a request must run at most once. */
    idempotent: z.boolean(),
    /** Request classes that the service takes. */
    classes: z.array(z.string().min(1).max(63)).min(1).readonly(),
    trial: Trial.optional(),
    /** Capacity that the system keeps up by starting and returning VMs; absent, it does neither. */
    capacity: Capacity.optional(),
  })
  .readonly();
export type Service = z.infer<typeof Service>;
