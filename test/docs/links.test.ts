import { existsSync } from 'node:fs';
import { readFile, readdir } from 'node:fs/promises';
import test from 'ava';
import { parseTicket } from '@ragwortrudder/tickets';

const ROOT = new URL('../../', import.meta.url);
const LINK = /\]\((?!https?:)([^)#\s]+)(?:#[^)]*)?\)/g;

/** Returns the paths of all documentation pages, relative to the root of the repository. */
async function pages(): Promise<readonly string[]> {
  const markdownFiles = async (folder: string): Promise<readonly string[]> =>
    (await readdir(new URL(folder, ROOT), { recursive: true }))
      .filter((name) => name.endsWith('.md') && !name.includes('node_modules'))
      .map((name) => folder + name);
  const folders = await Promise.all(['docs/', 'packages/', 'examples/'].map(markdownFiles));
  return ['README.md', ...folders.flat()];
}

test('each link in the documentation points to an existing file', async (t) => {
  for (const page of await pages()) {
    const url = new URL(page, ROOT);
    const text = await readFile(url, 'utf8');
    for (const [, target = ''] of text.matchAll(LINK)) {
      t.true(existsSync(new URL(target, url)), `${page}: ${target}`);
    }
  }
});

test('the example tickets are valid', async (t) => {
  const folder = new URL('examples/tickets/', ROOT);
  for (const name of await readdir(folder)) {
    const text = await readFile(new URL(name, folder), 'utf8');
    const ticket = JSON.parse(text.replace('TAKEOVER_BY', '2030-01-01T00:00:00Z')) as object;
    t.notThrows(() => parseTicket({ ...ticket, author: 'operator' }), name);
  }
});
