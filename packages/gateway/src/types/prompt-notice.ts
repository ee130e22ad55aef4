import * as z from 'zod';

/** What a node tells its peers at once when it sends a long prompt to a runner. */
export const PromptNotice = z.object({
  node: z.string(),
  runner: z.string(),
  /** Prompt tokens that the runner has to read. */
  tokens: z.number(),
});
/** What a node tells its peers at once when it sends a long prompt to a runner. */
export type PromptNotice = Readonly<z.infer<typeof PromptNotice>>;
