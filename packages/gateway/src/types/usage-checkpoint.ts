import * as z from 'zod';

/** Running counts of windows that have not been reported yet, by node incarnation, window and team. */
export const UsageCheckpoint = z.object({
  lives: z.record(z.string(), z.record(z.string(), z.record(z.string(), z.number()))),
});
/** Running counts of windows that have not been reported yet, by node incarnation, window and team. */
export type UsageCheckpoint = Readonly<z.infer<typeof UsageCheckpoint>>;
