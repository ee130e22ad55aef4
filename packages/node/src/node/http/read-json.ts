import type { Request } from 'restify';
import type { z } from 'zod';
import { InvalidInput } from '@ragwortrudder/core';
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
  const text = Buffer.isBuffer(body) ? body.toString('utf8') : body;
  if (typeof text !== 'string') return text ?? {};
  try {
    return JSON.parse(text);
  } catch {
    throw new BodyMalformed();
  }
}
