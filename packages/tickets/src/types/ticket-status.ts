import type { Move } from './move.ts';
import type { Refusal } from './refusal.ts';

/** What has become of a ticket. */
export interface TicketStatus {
  readonly number: number;
  /** `unknown` when the log's prefix holds no ticket of this number. */
  readonly status: 'accepted' | 'superseded' | 'refused' | 'unknown';
  readonly refusal: Refusal | null;
  /** For each failure domain, whether all its nodes have applied the ticket. */
  readonly inForce: Readonly<Record<string, boolean>>;
  readonly moves: readonly Move[];
}
