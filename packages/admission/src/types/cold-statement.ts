import * as z from 'zod';
import { MAX_COLD_MS } from '../utils/max-cold-ms.ts';

/** What a runner said of its cold period in a response, as nodes report it to each other. */
export const ColdStatement = z
  .object({
    /** Incarnation of the runner. */
    runner: z.string(),
    /** Remaining cold time at the response, in milliseconds; 0 when the runner is warm. */
    coldMs: z.number().nonnegative().max(MAX_COLD_MS),
    /** Time since the response, in milliseconds. */
    ageMs: z.number().min(Number.MIN_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER),
  })
  .readonly();
/** What a runner said of its cold period in a response. */
export type ColdStatement = z.infer<typeof ColdStatement>;
