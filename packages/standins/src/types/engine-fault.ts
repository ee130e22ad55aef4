import * as z from 'zod';
import { FaultCondition } from './fault-condition.ts';

/** Faults of a model runner; each POST replaces the members that it names. */
export const EngineFault = z
  .strictObject({
    /**
     * Share of requests that fail.
     * @default 0
     */
    failRate: z.number().min(0).max(1).optional(),
    /**
     * How a request fails: by an error event on the stream, by status 500, or by a connection that is destroyed.
     * @default 'event'
     */
    failAs: z.enum(['event', 'status', 'disconnect']).optional(),
    /**
     * Tokens that a failing stream sends before it fails.
     * @default 0
     */
    failAfterTokens: z.int().nonnegative().optional(),
    /**
     * Factor on the time of each step; with a marker, matching streams advance only every n-th step.
     * @default 1
     */
    slowFactor: z.number().min(1).optional(),
    /** Requests to which `failRate` and `slowFactor` apply. */
    condition: FaultCondition.optional(),
    /** True freezes the streams open now for good; later ones work. */
    stall: z.boolean().optional(),
    /** True refuses connections and destroys the open ones. */
    refuse: z.boolean().optional(),
    /** True answers requests with 503. */
    reject: z.boolean().optional(),
    /** True reports that the VM of the runner is leaving. */
    leaving: z.boolean().optional(),
  })
  .readonly();
export type EngineFault = z.infer<typeof EngineFault>;
