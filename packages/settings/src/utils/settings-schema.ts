import * as z from 'zod';
import type { SchemaNode } from '../types/schema-node.ts';
import { Settings } from '../types/settings.ts';

/** Returns the JSON Schema of the settings. */
export function settingsSchema(): SchemaNode {
  return z.toJSONSchema(Settings, { io: 'input' }) as SchemaNode;
}
