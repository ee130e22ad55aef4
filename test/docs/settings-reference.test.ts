import { readFile } from 'node:fs/promises';
import test from 'ava';
import { settingsReference } from '../../scripts/settings-reference.ts';

test('docs/settings.md matches the output of npm run docs:settings', async (t) => {
  const page = await readFile(new URL('../../docs/settings.md', import.meta.url), 'utf8');
  t.is(page, await settingsReference());
});
