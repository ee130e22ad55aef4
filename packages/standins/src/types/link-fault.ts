import * as z from 'zod';
import { RelayMode } from './relay-mode.ts';

/** Sets the mode of the link `name`, or of all links if the name is `*`. */
export const LinkFault = z
  .strictObject({
    name: z.string(),
    mode: RelayMode,
    /**
     * Delay in milliseconds added to each chunk.
     * @default 0
     */
    delayMs: z.number().nonnegative().optional(),
  })
  .readonly();
export type LinkFault = z.infer<typeof LinkFault>;
