import type { RelayLink } from './relay-link.ts';

/** Relayed link of a fleet that starts at an entry node. */
export interface FleetLink extends RelayLink {
  /** Name of the entry node at which the link starts. */
  readonly from: string;
  /** Destination of the link: name of an entry node, id of a runner or `platform`. */
  readonly to: string;
}
