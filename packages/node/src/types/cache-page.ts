import * as z from 'zod';

/** Answer of a model engine to `GET /cache/events`. */
export const CachePage = z
  .object({
    events: z
      .array(
        z
          .object({ seq: z.number(), kind: z.enum(['stored', 'evicted']), prefix: z.string() })
          .readonly(),
      )
      .readonly(),
    next: z.number(),
  })
  .readonly();
export type CachePage = z.infer<typeof CachePage>;
