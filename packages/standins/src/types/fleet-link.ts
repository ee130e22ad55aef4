import type { RelayLink } from './relay-link.ts';

/** Link of a fleet from an entry node. */
export interface FleetLink extends RelayLink {
  /** Entry node from which the link leads. */
  readonly from: string;
  /** Entry node, runner or `platform` to which the link leads. */
  readonly to: string;
}
