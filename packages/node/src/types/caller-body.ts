import * as z from 'zod';

const common = {
  /** Class of the request. */
  class: z.string().min(1).max(63).default('interactive'),
  /** Time from now in milliseconds after which the answer has no worth. */
  deadlineMs: z.number().int().positive().optional(),
};

const ModelBody = z.strictObject({
  ...common,
  prompt: z.string().min(1),
  maxTokens: z.number().int().min(1).max(32_768).default(256),
});

const ApplicationBody = z.strictObject({
  ...common,
  operation: z.string().min(1).max(200),
  payload: z.unknown().default(null),
});

/** Body of a caller's request: for a model when it has a prompt, else for an application. */
export const CallerBody = z.union([ModelBody, ApplicationBody], {
  error:
    'send prompt and maxTokens for a model, or operation and payload for an application; no other members than class and deadlineMs',
});
export type CallerBody = z.infer<typeof CallerBody>;
