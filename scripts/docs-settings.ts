/** Generates `docs/settings.md` from the settings schema. */
import { writeFileSync } from 'node:fs';
import { settingsReference } from './settings-reference.ts';

writeFileSync('docs/settings.md', await settingsReference());
