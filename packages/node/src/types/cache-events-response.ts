import * as z from 'zod';

/** Response of a model engine to `GET /cache/events`. */
export const CacheEventsResponse = z
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
export type CacheEventsResponse = z.infer<typeof CacheEventsResponse>;
