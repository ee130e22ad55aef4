import * as z from 'zod';
import { FaultMode } from './fault-mode.ts';
import { FaultTarget } from './fault-target.ts';

/** Fault injected into one interface of the platform. */
export const PlatformFault = z
  .strictObject({
    target: FaultTarget,
    mode: FaultMode,
    /**
     * Delay in milliseconds of each call in mode `slow`.
     * @default 1000
     */
    delayMs: z.number().nonnegative().optional(),
    /** Number of calls that the fault affects. If omitted, the fault stays active until it is replaced. */
    count: z.int().nonnegative().optional(),
  })
  .readonly();
export type PlatformFault = z.infer<typeof PlatformFault>;
