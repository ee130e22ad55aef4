import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';

/** Returns all tickets that are kept, newest first by their place in the log. */
export function listTickets({ pages }: TicketState): readonly TicketRecord[] {
  return Object.values(pages)
    .flatMap((page) => Object.values(page))
    .sort((a, b) => b.position - a.position);
}
