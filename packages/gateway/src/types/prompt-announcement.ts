import * as z from 'zod';

/** Sent to peers immediately, ahead of the next report, when a node sends a long prompt to a runner. */
export const PromptAnnouncement = z.object({
  node: z.string(),
  runner: z.string(),
  /** Prompt tokens that the runner has to read. */
  tokens: z.number(),
});
/** Sent to peers immediately, ahead of the next report, when a node sends a long prompt to a runner. */
export type PromptAnnouncement = Readonly<z.infer<typeof PromptAnnouncement>>;
