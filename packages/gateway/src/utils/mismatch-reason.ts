/** Maximum number of characters of an id in a reason: a runner may send any. */
const MAX_QUOTED_CHARACTERS = 64;

/** Returns why a response cannot be that of the request: it has another id, several of them or none. */
export function mismatchReason(requestId: string | undefined): string {
  if (requestId === undefined) return 'response has no Request-Id';
  const quoted = JSON.stringify(requestId.slice(0, MAX_QUOTED_CHARACTERS));
  return `response belongs to request ${quoted}`;
}
