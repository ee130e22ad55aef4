import * as z from 'zod';
import { BoundedText } from './bounded-text.ts';
import { Ordinal } from './ordinal.ts';
import { Port } from './port.ts';

/** Request of a node for a configuration that is newer than the one it has. */
export const ConfigurationRequest = z
  .object({ host: BoundedText, port: Port, after: Ordinal })
  .readonly();
/** Request of a node for a configuration that is newer than the one it has. */
export type ConfigurationRequest = z.infer<typeof ConfigurationRequest>;
