import { Settings } from '../types/settings.ts';
import { SettingsInvalid } from '../errors/settings-invalid.ts';

const MAX_SHOWN = 80;

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const part of path) {
    if (value === null || typeof value !== 'object') return undefined;
    value = (value as Readonly<Record<PropertyKey, unknown>>)[part];
  }
  return value;
}

function shown(root: unknown, path: readonly PropertyKey[]): string {
  if (path[0] === 'keys') return 'a value that is not shown';
  const value = valueAt(root, path);
  return value === undefined ? 'nothing' : JSON.stringify(value).slice(0, MAX_SHOWN);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new SettingsInvalid([
      `the file is not JSON: ${cause instanceof Error ? cause.message : ''}`,
    ]);
  }
}

/**
 * Reads settings from JSON text.
 * @throws {@link SettingsInvalid} naming every problem: its path, what was found, what is allowed.
 */
export function checkSettings(text: string): Settings {
  const raw = parseJson(text);
  const result = Settings.safeParse(raw);
  if (result.success) return result.data;
  throw new SettingsInvalid(
    result.error.issues.map((issue) => {
      const path = issue.path.map(String).join('.') || 'settings';
      return `${path}: found ${shown(raw, issue.path)}; ${issue.message}`;
    }),
  );
}
