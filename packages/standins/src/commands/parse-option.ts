import { InvalidInput } from '@ragwortrudder/core';
import type { ZodType } from 'zod';
import { parseBody } from '../node/parse-body.ts';

/** Reads a command-line option that holds JSON. */
export function parseOption<T>(schema: ZodType<T>, text: string): T {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new InvalidInput('option is not JSON', [String(error)]);
  }
  return parseBody(schema, value);
}
