import * as z from 'zod';
import { Capacity } from './capacity.ts';
import { Trial } from './trial.ts';

const Version = z.string().min(1).max(128);
const Deadline = z.union([
  z.int().nonnegative(),
  z.iso.datetime({ offset: true }).transform((text) => Date.parse(text)),
]);

/** Complete desired state of a service. */
export const Service = z
  .strictObject({
    kind: z.enum(['model', 'application']),
    version: Version,
    /** Version that serves until the move ends, if the service has no effective version yet. */
    previous: Version.optional(),
    /**
     * Time by which `version` must serve all traffic; ISO 8601 or milliseconds since the Unix
     * epoch.
     */
    takeoverBy: Deadline.optional(),
    /** True if the endpoints reject orders with an outdated fencing number. */
    fencing: z.boolean(),
    /** False if a request must be executed at most once. */
    idempotent: z.boolean(),
    /** Request classes that the service accepts. */
    classes: z.array(z.string().min(1).max(63)).min(1).readonly(),
    trial: Trial.optional(),
    /** Capacity to maintain by starting and returning VMs; when absent, the VMs are not managed. */
    capacity: Capacity.optional(),
  })
  .readonly();
export type Service = z.infer<typeof Service>;
