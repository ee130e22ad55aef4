import * as z from 'zod';

/** Record with the chained hash of the stream up to and including this record. */
export const HashedRecord = z
  .strictObject({
    record: z.strictObject({
      offset: z.int().nonnegative(),
      id: z.string(),
      time: z.number(),
      body: z.unknown(),
    }),
    hash: z.string(),
  })
  .readonly();
export type HashedRecord = z.infer<typeof HashedRecord>;
