import * as z from 'zod';
import { FaultCondition } from './fault-condition.ts';

/** Faults of a model runner. Each POST replaces only the fields that it contains. */
export const EngineFault = z
  .strictObject({
    /**
     * Fraction of requests that fail.
     * @default 0
     */
    failRate: z.number().min(0).max(1).optional(),
    /**
     * How a request fails: with an error event on the stream, with status 500, by destroying the connection, or with a
     * part of an event and an orderly close.
     * @default 'event'
     */
    failAs: z.enum(['event', 'status', 'disconnect', 'cut']).optional(),
    /**
     * Number of tokens that a failing stream sends before it fails.
     * @default 0
     */
    failAfterTokens: z.int().nonnegative().optional(),
    /**
     * Multiplies the duration of each step. If `condition` has a marker, only matching streams are slowed: they advance
     * only in every n-th step.
     * @default 1
     */
    slowFactor: z.number().min(1).optional(),
    /** Restricts `failRate` and `slowFactor` to matching requests. */
    condition: FaultCondition.optional(),
    /** When true, later streams have neither a length nor chunks and end with their connection. */
    unframed: z.boolean().optional(),
    /** When true, permanently freezes the streams that are currently open; later streams work. */
    stall: z.boolean().optional(),
    /** When true, refuses new connections and destroys open ones. */
    refuse: z.boolean().optional(),
    /** When true, answers generation requests with 503. */
    reject: z.boolean().optional(),
    /** When true, the runner reports that its VM is being reclaimed. */
    leaving: z.boolean().optional(),
  })
  .readonly();
export type EngineFault = z.infer<typeof EngineFault>;
