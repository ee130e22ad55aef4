import * as z from 'zod';

/** Service and version that a model engine was last ordered to load. */
export const EngineState = z.object({
  state: z.object({ service: z.string().optional(), version: z.string().optional() }).readonly(),
});
export type EngineState = Readonly<z.infer<typeof EngineState>>;
