import * as z from 'zod';
import { FaultCondition } from './fault-condition.ts';

/** Faults of an application runner; each POST replaces the whole fault. */
export const ApplicationFault = z
  .strictObject({
    /**
     * `fail` answers 500 without the effect, `fail-after` with it; `refuse` answers 422 without it; `slow` works for
     * `delayMs` longer; `reply-lost` destroys the connection after the effect; `reply-late` answers `delayMs` after
     * the effect; `not-run` answers 503 without the effect; `hang` never answers and has no effect; `hang-after` has
     * it.
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
        'reply-late',
        'not-run',
        'hang',
        'hang-after',
      ])
      .optional(),
    /** @default 1000 */
    delayMs: z.number().nonnegative().optional(),
    /**
     * Share of operations that meet the fault.
     * @default 1
     */
    rate: z.number().min(0).max(1).optional(),
    /** Number of operations that meet the fault; without it the fault lasts until replaced. */
    count: z.int().nonnegative().optional(),
    condition: FaultCondition.optional(),
    /** True reports that the VM of the runner is leaving; kept until replaced by false. */
    leaving: z.boolean().optional(),
    /** True refuses connections and destroys the open ones; kept until replaced by false. */
    refuse: z.boolean().optional(),
  })
  .readonly();
export type ApplicationFault = z.infer<typeof ApplicationFault>;
