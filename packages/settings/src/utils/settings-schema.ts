import { z } from 'zod';
import { Settings } from '../types/settings.ts';

/** JSON Schema of the settings. */
export function settingsSchema(): unknown {
  return z.toJSONSchema(Settings, { io: 'input' });
}
