import * as z from 'zod';

const ModelInput = z
  .strictObject({
    kind: z.literal('model'),
    prompt: z.string().min(1),
    maxTokens: z.number().int().min(1).max(32_768),
  })
  .readonly();

const ApplicationInput = z
  .strictObject({
    kind: z.literal('application'),
    operation: z.string().min(1).max(200),
    payload: z.unknown(),
  })
  .readonly();

/** Input of a request: a prompt for a model, or an operation for an application. */
export const RequestInput = z.discriminatedUnion('kind', [ModelInput, ApplicationInput]);
export type RequestInput = z.infer<typeof RequestInput>;
