import type { ZodError } from 'zod';

const MAX_ISSUES = 3;
const MAX_LENGTH = 240;

/** What is wrong with a value that does not match a schema, in one bounded line. */
export function schemaProblem({ issues }: Pick<ZodError, 'issues'>): string {
  const text = issues
    .slice(0, MAX_ISSUES)
    .map(({ path, message }) => `${path.length > 0 ? path.join('.') : 'value'}: ${message}`)
    .join('; ');
  return text.slice(0, MAX_LENGTH);
}
