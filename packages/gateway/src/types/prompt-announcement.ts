import * as z from 'zod';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';

/** Sent to peers immediately, ahead of the next report, when a node sends a long prompt to a runner. */
export const PromptAnnouncement = z.object({
  node: BoundedText,
  runner: BoundedText,
  /** Prompt tokens that the runner has to read. */
  tokens: Amount,
});
/** Sent to peers immediately, ahead of the next report, when a node sends a long prompt to a runner. */
export type PromptAnnouncement = Readonly<z.infer<typeof PromptAnnouncement>>;
