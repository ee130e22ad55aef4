import * as z from 'zod';

/** Answer to a request for an idempotency key. */
export const IssuedKey = z.object({ key: z.string() }).readonly();
export type IssuedKey = z.infer<typeof IssuedKey>;
