import * as z from 'zod';

/** Parts of a configuration record that are accepted. */
const MAX_PARTS = 1_024;

/** One datagram of a configuration record, compressed. */
export const ConfigurationPart = z
  .object({
    node: z.string(),
    version: z.number(),
    part: z.number().int().nonnegative(),
    parts: z.number().int().positive().max(MAX_PARTS),
    /** Base64. */
    text: z.string(),
  })
  .readonly();
/** One datagram of a configuration record, compressed. */
export type ConfigurationPart = z.infer<typeof ConfigurationPart>;
