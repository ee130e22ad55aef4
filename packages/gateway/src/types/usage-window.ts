import * as z from 'zod';

/** Number of a window of usage, as the key of a record. */
export const UsageWindow = z.string().regex(/^\d{1,15}$/);
