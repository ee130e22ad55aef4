import type { Service } from './service.ts';

/** State of a service that results from the accepted tickets and the decisions on its moves. */
export interface ServiceState {
  /** Service as defined by the last ticket; null when removed. */
  readonly service: Service | null;
  /**
   * Version that serves by default: the old one during a move, then the one that its decision
   * selects.
   */
  readonly effectiveVersion: string | null;
  /** Ticket that last changed the service. */
  readonly ticket: number;
  readonly position: number;
}
