import * as z from 'zod';

/** Request of a node for a configuration that is newer than the one it has. */
export const ConfigurationRequest = z
  .object({ host: z.string(), port: z.number(), after: z.number() })
  .readonly();
/** Request of a node for a configuration that is newer than the one it has. */
export type ConfigurationRequest = z.infer<typeof ConfigurationRequest>;
