import { readFileSync } from 'node:fs';

const EXAMPLE_TEXT = readFileSync(
  new URL('../../examples/settings/node.json', import.meta.url),
  'utf8',
);

type SettingOverrides = Readonly<Record<string, unknown>>;

/**
 * Returns the example settings as JSON with the values at dotted paths replaced; undefined removes
 * a member.
 */
export function exampleSettings(overrides: SettingOverrides): string {
  const settings = JSON.parse(EXAMPLE_TEXT) as Record<string, unknown>;
  for (const [path, value] of Object.entries(overrides)) {
    const parts = path.split('.');
    const last = parts.pop() ?? '';
    let parent = settings;
    for (const part of parts) parent = (parent[part] ??= {}) as Record<string, unknown>;
    parent[last] = value;
  }
  return JSON.stringify(settings);
}
