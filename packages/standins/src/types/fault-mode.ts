import * as z from 'zod';

/** How a platform interface with an injected fault handles a call. */
export const FaultMode = z.enum(['ok', 'down', 'slow', 'reply-lost', 'hang']);
export type FaultMode = z.infer<typeof FaultMode>;
