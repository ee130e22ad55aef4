import { InvalidInput } from '@ragwortrudder/core';
import type { ZodType } from 'zod';
import { parseBody } from '../node/parse-body.ts';

/** Parses a command-line option that holds JSON and validates it. */
export function parseOption<T>(schema: ZodType<T>, text: string): T {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new InvalidInput('command-line option is not valid JSON', [String(error)]);
  }
  return parseBody(schema, value);
}
