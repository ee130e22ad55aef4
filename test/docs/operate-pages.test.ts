import { readFile, readdir } from 'node:fs/promises';
import test from 'ava';
import { ExitCode } from '@ragwortrudder/cli';

const ROOT = new URL('../../', import.meta.url);

async function read(path: string): Promise<string> {
  return readFile(new URL(path, ROOT), 'utf8');
}

/** Returns the text of all source files below a folder. */
async function sources(folder: string): Promise<string> {
  const names = await readdir(new URL(folder, ROOT), { recursive: true });
  const files = names.filter((name) => name.endsWith('.ts'));
  return (await Promise.all(files.map((name) => read(`${folder}${name}`)))).join('\n');
}

test('docs/operate/exit-codes.md lists each exit code', async (t) => {
  const page = await read('docs/operate/exit-codes.md');
  const documented = [...page.matchAll(/^\| (\d+) +\| `(\w+)`/gm)].map(([, code, name]) => [
    name,
    code,
  ]);
  t.deepEqual(
    documented,
    Object.entries(ExitCode).map(([name, code]) => [name, String(code)]),
  );
});

test('docs/operate/counters.md lists exactly the counters and gauges of a node', async (t) => {
  const page = await read('docs/operate/counters.md');
  const code = await sources('packages/node/src/');
  const registered = [...code.matchAll(/\.(count|gauge)\(\s*'([a-z_]+)'/g)].map(
    ([, kind, name = '']) => (kind === 'count' ? `${name}_total` : name),
  );
  const documented = [...page.matchAll(/^\| `([a-z_]+)`/gm)].map(([, name]) => name);
  t.deepEqual(
    [...new Set(documented)].sort(),
    [...new Set(registered), 'time_count', 'time_ms'].sort(),
  );
});

test('the index of docs/operate links each page', async (t) => {
  const index = await read('docs/operate/README.md');
  const pages = (await readdir(new URL('docs/operate/', ROOT))).filter(
    (name) => name !== 'README.md',
  );
  for (const page of pages) t.true(index.includes(`(${page})`), page);
});
