import type { RequestName } from '../types/request-name.ts';

/** Formats a request id: `r1.<owner>.<incarnation>.<holder or ->.<serial>`. */
export function formatRequestId(name: RequestName): string {
  return ['r1', name.owner, String(name.incarnation), name.holder ?? '-', name.serial].join('.');
}
