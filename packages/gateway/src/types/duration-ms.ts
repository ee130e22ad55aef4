import * as z from 'zod';

const MAX_DURATION_MS = 2 ** 31 - 1;

/** Duration that a timer can wait, in milliseconds. */
export const DurationMs = z.number().nonnegative().max(MAX_DURATION_MS);
