import { InvalidInput } from '@ragwortrudder/core';
import type { ZodType } from 'zod';

/** Validates a body against a schema. */
export function parseBody<T>(schema: ZodType<T>, body: unknown): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  const problems = result.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  throw new InvalidInput('body does not match its schema', problems);
}
