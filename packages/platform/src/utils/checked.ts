import type { z } from 'zod';
import { UnexpectedAnswer } from '../errors/unexpected-answer.ts';

/** Returns the content of an answer checked against its schema; throws `UnexpectedAnswer`. */
export function checked<T extends z.ZodType>(schema: T, body: unknown): z.infer<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw new UnexpectedAnswer('the answer does not match its interface', problems);
}
