export { SettingsInvalid } from './errors/settings-invalid.ts';
export { Settings } from './types/settings.ts';
export { checkSettings } from './utils/check-settings.ts';
export { settingsSchema } from './utils/settings-schema.ts';
