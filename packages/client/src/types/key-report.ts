import * as z from 'zod';

/** Outcome of the request with an idempotency key. */
export const KeyReport = z
  .object({
    key: z.string(),
    /** `pending` while the request runs, `unused` or `absent` if no request with the key is known. */
    word: z.string(),
    result: z.unknown().optional(),
    /** Id of the request, if a node still holds it. */
    requestId: z.string().optional(),
  })
  .readonly();
export type KeyReport = z.infer<typeof KeyReport>;
