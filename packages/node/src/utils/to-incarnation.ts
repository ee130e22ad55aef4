import type { Owner } from '@ragwortrudder/claims';
import type { Incarnation } from '@ragwortrudder/core';

/** Owner of a claim or key as an incarnation of a node. */
export function toIncarnation({ node, incarnation }: Owner): Incarnation {
  return { nodeId: node, number: incarnation };
}
