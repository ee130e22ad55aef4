import type { Owner } from '@ragwortrudder/claims';
import type { Incarnation } from '@ragwortrudder/core';

/** Converts an incarnation to the owner that entries of the claim stream name. */
export function toClaimOwner({ nodeId, number }: Incarnation): Owner {
  return { node: nodeId, incarnation: number };
}
