import * as z from 'zod';

/** Answer of a model engine to `GET /cache/snapshot`. */
export const CacheListing = z
  .object({ seq: z.number(), prefixes: z.array(z.string()).readonly() })
  .readonly();
export type CacheListing = z.infer<typeof CacheListing>;
