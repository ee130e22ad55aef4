import type { Owner } from '@ragwortrudder/claims';
import type { Incarnation } from '@ragwortrudder/core';

/** Converts the owner of a claim or key to an incarnation of a node. */
export function toIncarnation({ node, incarnation }: Owner): Incarnation {
  return { nodeId: node, number: incarnation };
}
