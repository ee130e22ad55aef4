import type { TenantShare } from './tenant-share.ts';

/** State of a tenant that results from the accepted tickets. */
export interface TenantState {
  /** Share as defined by the last ticket; null when removed. */
  readonly share: TenantShare | null;
  /** Ticket that last changed the tenant. */
  readonly ticket: number;
  readonly position: number;
}
