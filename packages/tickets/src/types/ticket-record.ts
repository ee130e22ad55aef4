import type { Move } from './move.ts';
import type { Refusal } from './refusal.ts';

/** Outcome of the first entry with a ticket's number. */
export interface TicketRecord {
  readonly number: number;
  readonly author: string;
  /** Entry that carried the ticket. */
  readonly entryId: string;
  readonly position: number;
  /** Log time in milliseconds since the Unix epoch. */
  readonly at: number;
  /** Objects named by the ticket, for example `services.quotes`. */
  readonly objects: readonly string[];
  /** Null when the ticket was accepted. */
  readonly refusal: Refusal | null;
  /** Moves that the ticket started, by service. */
  readonly moves: Readonly<Record<string, Move>>;
}
