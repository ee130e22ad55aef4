export { SettingsInvalid } from './errors/settings-invalid.ts';
export type { SchemaNode } from './types/schema-node.ts';
export type { SettingsProblem } from './types/settings-problem.ts';
export { Settings } from './types/settings.ts';
export { allowedText } from './utils/allowed-text.ts';
export { Supply } from './types/supply.ts';
export { checkSettings } from './utils/check-settings.ts';
export { settingsSchema } from './utils/settings-schema.ts';
