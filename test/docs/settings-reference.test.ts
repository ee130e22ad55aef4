import { readFile } from 'node:fs/promises';
import test from 'ava';
import { settingsReference } from '../../scripts/settings-reference.ts';

test('docs/settings.md is what npm run docs:settings writes', async (t) => {
  const page = await readFile(new URL('../../docs/settings.md', import.meta.url), 'utf8');
  t.is(page, await settingsReference());
});
