import * as z from 'zod';

/** Event in the token stream of a model engine. */
export const EngineEvent = z.discriminatedUnion('type', [
  z
    .object({ type: z.literal('start'), cachedTokens: z.number(), computedTokens: z.number() })
    .readonly(),
  z.object({ type: z.literal('token'), index: z.number().int(), text: z.string() }).readonly(),
  z.object({ type: z.literal('done'), finish: z.string() }).readonly(),
  z.object({ type: z.literal('error'), message: z.string() }).readonly(),
]);
export type EngineEvent = z.infer<typeof EngineEvent>;
