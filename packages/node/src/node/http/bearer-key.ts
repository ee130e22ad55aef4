import type { Request } from 'restify';
import { Unauthorized } from '../../errors/unauthorized.ts';

const PATTERN = /^Bearer (\S{1,256})$/;

/**
 * Returns the bearer key of the `Authorization` header.
 * @throws {@link Unauthorized} when there is none.
 */
export function bearerKey(request: Request): string {
  const key = PATTERN.exec(request.headers.authorization ?? '')?.[1];
  if (key === undefined) throw new Unauthorized();
  return key;
}
