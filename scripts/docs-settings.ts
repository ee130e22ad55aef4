/** Writes `docs/settings.md` from the schema of the settings. */
import { writeFileSync } from 'node:fs';
import { settingsReference } from './settings-reference.ts';

writeFileSync('docs/settings.md', await settingsReference());
