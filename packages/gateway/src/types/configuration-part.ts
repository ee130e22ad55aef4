import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';

/** Parts of a configuration record that are accepted. */
const MAX_PARTS = 1_024;

/** One datagram of a configuration record, compressed. */
export const ConfigurationPart = z
  .object({
    node: BoundedText,
    version: Ordinal,
    part: z.number().int().nonnegative(),
    parts: z.number().int().positive().max(MAX_PARTS),
    /** Base64. */
    text: z.string(),
  })
  .readonly();
/** One datagram of a configuration record, compressed. */
export type ConfigurationPart = z.infer<typeof ConfigurationPart>;
