import * as z from 'zod';

/** What became of the request under an idempotency key. */
export const KeyReport = z
  .object({
    key: z.string(),
    /** `pending` while it runs, `unused` or `absent` when no request under it is known. */
    word: z.string(),
    result: z.unknown().optional(),
    /** Id of the request, when a node still holds it. */
    requestId: z.string().optional(),
  })
  .readonly();
export type KeyReport = z.infer<typeof KeyReport>;
