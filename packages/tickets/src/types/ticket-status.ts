import type { Move } from './move.ts';
import type { Refusal } from './refusal.ts';

/** Status of a ticket. */
export interface TicketStatus {
  readonly number: number;
  /** `unknown` when the folded prefix of the log contains no ticket with this number. */
  readonly status: 'accepted' | 'superseded' | 'refused' | 'unknown';
  readonly refusal: Refusal | null;
  /** For each failure domain, whether all its nodes have applied the ticket and it is in force. */
  readonly inForce: Readonly<Record<string, boolean>>;
  readonly moves: readonly Move[];
}
