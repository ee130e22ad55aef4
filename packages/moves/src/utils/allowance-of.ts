import { digest } from '@ragwortrudder/core';

interface AllowanceInput {
  readonly moveId: string;
  readonly nodeId: string;
  /** Participating nodes, including this one; the bound is exact only if all of them use the same list. */
  readonly nodeIds: readonly string[];
  /** Maximum number of requests over all nodes. */
  readonly maxRequests: number;
}

/** Returns one node's part of a cluster-wide request limit, so that the nodes keep the limit without coordination. */
export function allowanceOf({ moveId, nodeId, nodeIds, maxRequests }: AllowanceInput): number {
  if (maxRequests === Number.MAX_SAFE_INTEGER) return maxRequests;
  const ranked = [...new Set([...nodeIds, nodeId])]
    .map((id) => ({ id, key: digest([moveId, id]) }))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  const rank = ranked.findIndex(({ id }) => id === nodeId);
  const even = Math.floor(maxRequests / ranked.length);
  return even + (rank < maxRequests % ranked.length ? 1 : 0);
}
