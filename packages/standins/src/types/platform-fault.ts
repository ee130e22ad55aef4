import * as z from 'zod';
import { FaultMode } from './fault-mode.ts';
import { FaultTarget } from './fault-target.ts';

/** Fault of one interface of the platform. */
export const PlatformFault = z
  .strictObject({
    target: FaultTarget,
    mode: FaultMode,
    /**
     * Delay of each answer in milliseconds in mode `slow`.
     * @default 1000
     */
    delayMs: z.number().nonnegative().optional(),
    /** Number of calls that meet the fault; without it the fault lasts until replaced. */
    count: z.int().nonnegative().optional(),
  })
  .readonly();
export type PlatformFault = z.infer<typeof PlatformFault>;
