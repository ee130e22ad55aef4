import { quoteText } from '@ragwortrudder/core';

/** Returns why a response cannot be that of the request: it has another id, several of them or none. */
export function mismatchReason(requestId: string | undefined): string {
  if (requestId === undefined) return 'response has no Request-Id';
  return `response belongs to request ${quoteText(requestId)}`;
}
