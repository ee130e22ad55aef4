import type { TenantShare } from './tenant-share.ts';

/** A tenant as the accepted tickets leave it. */
export interface TenantState {
  /** Content of the last ticket; null when removed. */
  readonly share: TenantShare | null;
  /** Ticket that last changed the tenant. */
  readonly ticket: number;
  readonly position: number;
}
