import { digest } from '@ragwortrudder/core';

interface AllowanceInput {
  readonly moveId: string;
  readonly nodeId: string;
  /** Nodes that take part, this one included; they must agree on it for the bound to be exact. */
  readonly nodeIds: readonly string[];
  /** Requests over all nodes. */
  readonly maxRequests: number;
}

/** Part of a bound on requests that one node may use, so that all nodes together keep it without agreement. */
export function allowanceOf({ moveId, nodeId, nodeIds, maxRequests }: AllowanceInput): number {
  if (maxRequests === Number.MAX_SAFE_INTEGER) return maxRequests;
  const ranked = [...new Set([...nodeIds, nodeId])]
    .map((id) => ({ id, key: digest([moveId, id]) }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const rank = ranked.findIndex(({ id }) => id === nodeId);
  const even = Math.floor(maxRequests / ranked.length);
  return even + (rank < maxRequests % ranked.length ? 1 : 0);
}
