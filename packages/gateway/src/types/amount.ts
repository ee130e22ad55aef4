import * as z from 'zod';

/**
 * Amount that another node has sent or stored. It may be negative by the error of a sum; an amount that
 * is not finite would turn each report that includes it into one that nobody can read.
 */
export const Amount = z.number().min(Number.MIN_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER);
