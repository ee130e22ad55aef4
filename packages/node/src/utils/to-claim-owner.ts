import type { Owner } from '@ragwortrudder/claims';
import type { Incarnation } from '@ragwortrudder/core';

/** Incarnation in the form of the stream of claims. */
export function toClaimOwner({ nodeId, number }: Incarnation): Owner {
  return { node: nodeId, incarnation: number };
}
