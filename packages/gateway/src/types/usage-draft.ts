import * as z from 'zod';

/** Running counts of windows that are not reported yet, by life of a node, window and team. */
export const UsageDraft = z.object({
  lives: z.record(z.string(), z.record(z.string(), z.record(z.string(), z.number()))),
});
/** Running counts of windows that are not reported yet, by life of a node, window and team. */
export type UsageDraft = Readonly<z.infer<typeof UsageDraft>>;
