import * as z from 'zod';
import { Amount } from './amount.ts';
import { BoundedText } from './bounded-text.ts';
import { UsageWindow } from './usage-window.ts';

/** Running counts of windows that have not been reported yet, by node incarnation, window and team. */
export const UsageCheckpoint = z.object({
  lives: z.record(BoundedText, z.record(UsageWindow, z.record(BoundedText, Amount))),
});
/** Running counts of windows that have not been reported yet, by node incarnation, window and team. */
export type UsageCheckpoint = Readonly<z.infer<typeof UsageCheckpoint>>;
