import type { Request } from 'restify';
import type { z } from 'zod';
import { InvalidInput, parseBoundedJson } from '@ragwortrudder/core';
import { BodyMalformed } from '../../errors/body-malformed.ts';

/**
 * Parses the body of `request` as JSON and validates it against `schema`.
 * @throws {@link BodyMalformed}, or `InvalidInput` that lists every problem.
 */
export function readJson<T>(request: Request, schema: z.ZodType<T>): T {
  const result = schema.safeParse(parse(request));
  if (result.success) return result.data;
  throw new InvalidInput(
    'the body does not match its schema',
    result.error.issues.map(
      (issue) => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`,
    ),
  );
}

function parse(request: Request): unknown {
  const body = request.body as unknown;
  if (typeof body !== 'string' && !Buffer.isBuffer(body)) return body ?? {};
  const parsed = parseBoundedJson(Buffer.from(body));
  if (parsed === undefined) throw new BodyMalformed();
  return parsed;
}
