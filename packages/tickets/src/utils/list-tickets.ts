import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';

/** Returns all retained tickets in reverse log order. */
export function listTickets({ pages }: TicketState): readonly TicketRecord[] {
  return Object.values(pages)
    .flatMap((page) => Object.values(page))
    .sort((a, b) => b.position - a.position);
}
