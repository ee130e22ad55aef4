import * as z from 'zod';
import { FaultCondition } from './fault-condition.ts';

/** Faults of an application runner. Each POST replaces the whole fault, except `leaving` and `refuse`. */
export const ApplicationFault = z
  .strictObject({
    /**
     * How an affected operation behaves:
     *
     * - `fail`: answers 500 without running the operation
     * - `fail-after`: answers 500 after running it
     * - `refuse`: answers 422 without running it
     * - `slow`: takes `delayMs` longer to run it
     * - `reply-lost`: runs it, then destroys the connection
     * - `reply-cut`: runs it, then sends a part of an answer without a length or chunks and closes the connection
     * - `reply-late`: runs it, then waits `delayMs` before answering
     * - `not-run`: answers 503 without running it
     * - `hang`: never answers and does not run it
     * - `hang-after`: runs it and never answers
     *
     * @default 'ok'
     */
    mode: z
      .enum([
        'ok',
        'fail',
        'fail-after',
        'refuse',
        'slow',
        'reply-lost',
        'reply-cut',
        'reply-late',
        'not-run',
        'hang',
        'hang-after',
      ])
      .optional(),
    /** @default 1000 */
    delayMs: z.number().nonnegative().optional(),
    /**
     * Fraction of operations that the fault affects.
     * @default 1
     */
    rate: z.number().min(0).max(1).optional(),
    /** Number of operations that the fault affects. If omitted, the fault stays active until it is replaced. */
    count: z.int().nonnegative().optional(),
    condition: FaultCondition.optional(),
    /** When true, the runner reports that its VM is being reclaimed. Stays set until a POST sets it to false. */
    leaving: z.boolean().optional(),
    /** When true, refuses new connections and destroys open ones. Stays set until a POST sets it to false. */
    refuse: z.boolean().optional(),
  })
  .readonly();
export type ApplicationFault = z.infer<typeof ApplicationFault>;
