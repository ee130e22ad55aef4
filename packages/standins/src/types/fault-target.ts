import * as z from 'zod';

/** Interface of the platform at which a fault is brought about. */
export const FaultTarget = z.enum(['log.append', 'log.read', 'vms', 'cloud', 'notices', 'weights']);
export type FaultTarget = z.infer<typeof FaultTarget>;
