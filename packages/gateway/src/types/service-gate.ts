import type { AdmissionGate, RequestOrder, TeamShares } from '@ragwortrudder/admission';

/** Order of the requests of a service, and the gate that holds back the less urgent ones. */
export interface ServiceGate {
  readonly order: RequestOrder;
  /** Requests of the service in progress at this node, by team. */
  readonly shares: TeamShares;
  readonly gate: AdmissionGate;
}
