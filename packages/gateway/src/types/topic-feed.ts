import * as z from 'zod';

/** Result of a read of a topic, which the reading node sends to the other nodes of its failure domain. */
export const TopicFeed = z.object({
  topic: z.string(),
  /** Range of offsets that was read: from `from` (inclusive) to `next` (exclusive). */
  from: z.number(),
  next: z.number(),
  /** Era of the log in which the offsets are valid. */
  era: z.number().default(0),
  /** Records of the range that change the state: key, value in base64 or null, offset. */
  changes: z.array(z.tuple([z.string(), z.string().nullable(), z.number()])),
  /** `changes` covers the whole range; when false, the receiver has to read the range itself. */
  isWhole: z.boolean(),
});
/** Result of a read of a topic, which the reading node sends to the other nodes of its failure domain. */
export type TopicFeed = Readonly<z.infer<typeof TopicFeed>>;
