import type { Service } from './service.ts';

/** A service as the accepted tickets and the words of its moves leave it. */
export interface ServiceState {
  /** Content of the last ticket; null when removed. */
  readonly service: Service | null;
  /** Version that serves by default: during a move the old one, after it the one that its word names. */
  readonly effectiveVersion: string | null;
  /** Ticket that last changed the service. */
  readonly ticket: number;
  readonly position: number;
}
