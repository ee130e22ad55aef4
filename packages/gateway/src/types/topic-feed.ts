import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';

/** Result of a read of a topic, which the reading node sends to the other nodes of its failure domain. */
export const TopicFeed = z.object({
  topic: BoundedText,
  /** Range of offsets that was read: from `from` (inclusive) to `next` (exclusive). */
  from: Ordinal,
  next: Ordinal,
  /** Era of the log in which the offsets are valid. */
  era: Ordinal.default(0),
  /** Records of the range that change the state: key, value in base64 or null, offset. */
  changes: z.array(z.tuple([z.string(), z.string().nullable(), Ordinal])),
  /** `changes` covers the whole range; when false, the receiver has to read the range itself. */
  isWhole: z.boolean(),
});
/** Result of a read of a topic, which the reading node sends to the other nodes of its failure domain. */
export type TopicFeed = Readonly<z.infer<typeof TopicFeed>>;
