import type { Address } from '@ragwortrudder/catalog';

/** A peer that requests and messages can be sent to. */
export interface ReachablePeer {
  readonly id: string;
  readonly address: Address;
  readonly failureDomain: string | undefined;
}
