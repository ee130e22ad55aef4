import type { RequestIdParts } from '../types/request-id-parts.ts';

const PATTERN = /^r1\.([\w-]{1,64})\.(\d{1,16})\.([\w-]{1,64})\.([\w-]{1,64})$/;

/** Parses a request id; returns undefined when the text is not one. */
export function parseRequestId(text: string): RequestIdParts | undefined {
  const match = PATTERN.exec(text);
  if (!match) return undefined;
  const [, owner = '', incarnation = '', holder = '', serial = ''] = match;
  return {
    owner,
    incarnation: Number(incarnation),
    holder: holder === '-' ? undefined : holder,
    serial,
  };
}
