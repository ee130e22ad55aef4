import type { RequestIdParts } from '../types/request-id-parts.ts';

/** Formats a request id: `r1.<owner>.<incarnation>.<holder or ->.<serial>`. */
export function formatRequestId(name: RequestIdParts): string {
  return ['r1', name.owner, String(name.incarnation), name.holder ?? '-', name.serial].join('.');
}
