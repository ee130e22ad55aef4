import * as z from 'zod';

const common = {
  /** Class of the request. */
  class: z.string().min(1).max(63).default('interactive'),
  /** Time from now in milliseconds after which the caller no longer needs the response. */
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

/** Body of a caller's request. A body with `prompt` addresses a model, any other an application. */
export const CallerBody = z.union([ModelBody, ApplicationBody], {
  error:
    'send prompt and maxTokens for a model, or operation and payload for an application; class and deadlineMs are the only other members allowed',
});
export type CallerBody = z.infer<typeof CallerBody>;
