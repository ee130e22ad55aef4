import * as z from 'zod';
import { RelayMode } from './relay-mode.ts';

/** Change of the mode of a link, or of all links by the name `*`. */
export const LinkFault = z
  .strictObject({
    name: z.string(),
    mode: RelayMode,
    /**
     * Delay of each chunk in milliseconds.
     * @default 0
     */
    delayMs: z.number().nonnegative().optional(),
  })
  .readonly();
export type LinkFault = z.infer<typeof LinkFault>;
