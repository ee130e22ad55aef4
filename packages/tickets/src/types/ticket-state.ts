import type { DomainsState } from './domains-state.ts';
import type { Move } from './move.ts';
import type { RefusedEntry } from './refused-entry.ts';
import type { ServiceState } from './service-state.ts';
import type { TenantState } from './tenant-state.ts';
import type { TicketRecord } from './ticket-record.ts';

/** Configuration that follows from the log's prefix; plain JSON data. */
export interface TicketState {
  /** Position of the last entry folded; -1 when there was none. */
  readonly position: number;
  /** Highest number of an accepted ticket; 0 when there was none. */
  readonly newest: number;
  /**
   * Tickets by page and number; read them by `ticketAt` and `listTickets`.
   * Those not in force are kept up to a limit, newest first.
   */
  readonly pages: Readonly<Record<string, Readonly<Record<string, TicketRecord>>>>;
  /** Number of tickets in `pages`. */
  readonly ticketCount: number;
  /** Entries that lost their number to another entry, newest last, up to a limit. */
  readonly refusedEntries: readonly RefusedEntry[];
  readonly services: Readonly<Record<string, ServiceState>>;
  readonly tenants: Readonly<Record<string, TenantState>>;
  readonly domains: DomainsState | null;
  /** Open moves by service. */
  readonly moves: Readonly<Record<string, Move>>;
  /** Entries that were no valid ticket or word. */
  readonly ignored: number;
}
