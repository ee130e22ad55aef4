import type { RequestOrder, TeamShares } from '@ragwortrudder/admission';

/** Order of the requests of a service. */
export interface ServiceGate {
  readonly order: RequestOrder;
  /** Requests of the service in progress at this node, by team. */
  readonly shares: TeamShares;
}
