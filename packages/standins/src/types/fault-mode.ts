import * as z from 'zod';

/** What a faulty interface of the platform does with a call. */
export const FaultMode = z.enum(['ok', 'down', 'slow', 'reply-lost', 'hang']);
export type FaultMode = z.infer<typeof FaultMode>;
