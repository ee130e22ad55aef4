import type { z } from 'zod';
import { SettingsInvalid } from '../errors/settings-invalid.ts';
import { Settings } from '../types/settings.ts';
import type { SettingsProblem } from '../types/settings-problem.ts';
import { allowedText } from './allowed-text.ts';
import { crossFieldProblems } from './cross-field-problems.ts';
import { schemaAt } from './schema-at.ts';
import { settingsSchema } from './settings-schema.ts';

const MAX_FOUND_LENGTH = 80;
const HIDDEN = 'a value that is not shown';

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const part of path) {
    if (value === null || typeof value !== 'object') return undefined;
    value = (value as Readonly<Record<PropertyKey, unknown>>)[part];
  }
  return value;
}

function foundText(root: unknown, path: readonly PropertyKey[]): string {
  const value = valueAt(root, path);
  if (value === undefined) return 'nothing';
  if (path[0] === 'keys') return HIDDEN;
  if (typeof value === 'object' && value !== null) {
    return Array.isArray(value) ? 'a list' : 'an object';
  }
  return JSON.stringify(value).slice(0, MAX_FOUND_LENGTH);
}

function pathText(path: readonly PropertyKey[]): string {
  return path.map(String).join('.') || 'settings';
}

function problemsOf(raw: unknown, issue: z.core.$ZodIssue): readonly SettingsProblem[] {
  const node = schemaAt(settingsSchema(), issue.path);
  if (issue.code === 'unrecognized_keys') {
    const names = Object.keys(node?.properties ?? {}).join(', ');
    return issue.keys.map((name) => ({
      path: pathText([...issue.path, name]),
      found: 'a name that is not known',
      allowed: names,
    }));
  }
  const allowed = node ? allowedText(node) : issue.message;
  return [{ path: pathText(issue.path), found: foundText(raw, issue.path), allowed }];
}

/** Describes a JSON syntax error by its line only, as the parser's message may quote a key. */
function jsonProblem(text: string, error: unknown): SettingsProblem {
  const position = error instanceof Error ? /position (\d+)/.exec(error.message)?.[1] : undefined;
  const line = text.slice(0, Number(position ?? text.length)).split('\n').length;
  return {
    path: 'settings',
    found: `text that is not JSON, at line ${line}`,
    allowed: 'a JSON object',
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new SettingsInvalid([jsonProblem(text, error)]);
  }
}

/**
 * Parses and validates settings from JSON text.
 * @throws {@link SettingsInvalid} with the path, the value found and the allowed values of every
 * problem.
 */
export function checkSettings(text: string): Settings {
  const raw = parseJson(text);
  const result = Settings.safeParse(raw);
  const schemaProblems = result.success
    ? []
    : result.error.issues.flatMap((issue) => problemsOf(raw, issue));
  const problems = [...schemaProblems, ...crossFieldProblems(result.success ? result.data : raw)];
  if (!result.success || problems.length > 0) throw new SettingsInvalid(problems);
  return result.data;
}
