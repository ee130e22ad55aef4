import * as z from 'zod';

/** Last word on a non-idempotent request. */
export const OutcomeWord = z.enum(['completed', 'failed', 'not-run', 'unknown']);
export type OutcomeWord = z.infer<typeof OutcomeWord>;
