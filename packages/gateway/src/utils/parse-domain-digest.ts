import type * as z from 'zod';
import { DomainDigest } from '../types/domain-digest.ts';
import { isCommonDigest } from './is-common-digest.ts';

/** Checks a digest of another domain; the schema is only used for digests with fields that few have. */
export function parseDomainDigest(value: unknown): z.ZodSafeParseResult<DomainDigest> {
  if (isCommonDigest(value)) return { success: true, data: value as DomainDigest };
  return DomainDigest.safeParse(value);
}
