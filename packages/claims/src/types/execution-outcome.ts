import * as z from 'zod';

/** Outcome of a non-idempotent request. Only `unknown` may be replaced later, by the outcome that the owner proves. */
export const ExecutionOutcome = z.enum(['completed', 'failed', 'not-run', 'unknown']);
export type ExecutionOutcome = z.infer<typeof ExecutionOutcome>;
