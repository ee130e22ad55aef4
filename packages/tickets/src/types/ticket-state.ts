import type { DomainsState } from './domains-state.ts';
import type { Move } from './move.ts';
import type { RefusedEntry } from './refused-entry.ts';
import type { ServiceState } from './service-state.ts';
import type { TenantState } from './tenant-state.ts';
import type { TicketRecord } from './ticket-record.ts';

/** Configuration derived from a prefix of the log; plain JSON data. */
export interface TicketState {
  /** Position of the last folded entry; -1 when there was none. */
  readonly position: number;
  /** Highest number of an accepted ticket; 0 when there was none. */
  readonly newest: number;
  /**
   * Tickets by page and number; look them up through the functions of this package.
   * Of the tickets that are not in force only the newest are retained, up to a limit.
   */
  readonly pages: Readonly<Record<string, Readonly<Record<string, TicketRecord>>>>;
  /** Number of tickets in `pages`. */
  readonly ticketCount: number;
  /** Entries refused because their number was already used, oldest first, up to a limit. */
  readonly refusedEntries: readonly RefusedEntry[];
  readonly services: Readonly<Record<string, ServiceState>>;
  readonly tenants: Readonly<Record<string, TenantState>>;
  readonly domains: DomainsState | null;
  /** Moves in progress, keyed by service. */
  readonly moves: Readonly<Record<string, Move>>;
  /** Number of entries that were neither a valid ticket nor a valid decision. */
  readonly ignored: number;
}
