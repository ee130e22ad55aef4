import { readFile, readdir } from 'node:fs/promises';
import test from 'ava';
import { ExitCode } from '@ragwortrudder/cli';

const ROOT = new URL('../../', import.meta.url);

async function read(path: string): Promise<string> {
  return readFile(new URL(path, ROOT), 'utf8');
}

/** Text of all source files below a folder. */
async function sources(folder: string): Promise<string> {
  const names = await readdir(new URL(folder, ROOT), { recursive: true });
  const files = names.filter((name) => name.endsWith('.ts'));
  return (await Promise.all(files.map((name) => read(`${folder}${name}`)))).join('\n');
}

test('docs/operate/exit-codes.md tells each exit code', async (t) => {
  const page = await read('docs/operate/exit-codes.md');
  const told = [...page.matchAll(/^\| (\d+) +\| `(\w+)`/gm)].map(([, code, name]) => [name, code]);
  t.deepEqual(
    told,
    Object.entries(ExitCode).map(([name, code]) => [name, String(code)]),
  );
});

test('docs/operate/counters.md tells each counter and gauge of a node, and no other', async (t) => {
  const page = await read('docs/operate/counters.md');
  const code = await sources('packages/node/src/');
  const made = [...code.matchAll(/\.(count|gauge)\(\s*'([a-z_]+)'/g)].map(([, kind, name = '']) =>
    kind === 'count' ? `${name}_total` : name,
  );
  const told = [...page.matchAll(/^\| `([a-z_]+)`/gm)].map(([, name]) => name);
  t.deepEqual([...new Set(told)].sort(), [...new Set(made), 'time_count', 'time_ms'].sort());
});

test('the index of docs/operate names each page', async (t) => {
  const index = await read('docs/operate/README.md');
  const pages = (await readdir(new URL('docs/operate/', ROOT))).filter(
    (name) => name !== 'README.md',
  );
  for (const page of pages) t.true(index.includes(`(${page})`), page);
});
