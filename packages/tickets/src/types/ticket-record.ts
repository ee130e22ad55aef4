import type { Move } from './move.ts';
import type { Refusal } from './refusal.ts';

/** Outcome of the first entry that used a ticket number. */
export interface TicketRecord {
  readonly number: number;
  readonly author: string;
  /** Identifier of the log entry that contained the ticket. */
  readonly entryId: string;
  readonly position: number;
  /** Log timestamp in milliseconds since the Unix epoch. */
  readonly at: number;
  /** Objects that the ticket replaces or removes, for example `services.quotes`. */
  readonly objects: readonly string[];
  /** Null when the ticket was accepted. */
  readonly refusal: Refusal | null;
  /** Moves started by the ticket, keyed by service. */
  readonly moves: Readonly<Record<string, Move>>;
}
