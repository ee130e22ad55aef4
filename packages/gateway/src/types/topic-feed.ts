import * as z from 'zod';

/** What a node that reads a topic tells the others of its failure domain after each read. */
export const TopicFeed = z.object({
  topic: z.string(),
  /** Offsets that were read: from the first up to, and without, the next. */
  from: z.number(),
  next: z.number(),
  /** Records of the range that changed something: key, value in base64 or null, offset. */
  changes: z.array(z.tuple([z.string(), z.string().nullable(), z.number()])),
  /** True when `changes` has all there is to know of the range; else the range is to be read. */
  isWhole: z.boolean(),
});
/** What a node that reads a topic tells the others of its failure domain after each read. */
export type TopicFeed = Readonly<z.infer<typeof TopicFeed>>;
