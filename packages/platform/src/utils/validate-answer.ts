import type { z } from 'zod';
import { UnexpectedAnswer } from '../errors/unexpected-answer.ts';

/** Validates the body of an answer against its schema; throws `UnexpectedAnswer` if it does not match. */
export function validateAnswer<T extends z.ZodType>(schema: T, body: unknown): z.infer<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new UnexpectedAnswer('the answer of the platform does not match its schema', problems);
}
