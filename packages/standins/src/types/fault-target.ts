import * as z from 'zod';

/** Platform interface into which a fault is injected. */
export const FaultTarget = z.enum(['log.append', 'log.read', 'vms', 'cloud', 'notices', 'weights']);
export type FaultTarget = z.infer<typeof FaultTarget>;
