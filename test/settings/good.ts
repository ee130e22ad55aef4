import { readFileSync } from 'node:fs';

const TEXT = readFileSync(new URL('../../examples/settings/node.json', import.meta.url), 'utf8');

type Change = Readonly<Record<string, unknown>>;

/** The settings of the examples, with members replaced at dotted paths; undefined removes one. */
export function changed(changes: Change): string {
  const settings = JSON.parse(TEXT) as Record<string, unknown>;
  for (const [path, value] of Object.entries(changes)) {
    const parts = path.split('.');
    const last = parts.pop() ?? '';
    let parent = settings;
    for (const part of parts) parent = (parent[part] ??= {}) as Record<string, unknown>;
    parent[last] = value;
  }
  return JSON.stringify(settings);
}
