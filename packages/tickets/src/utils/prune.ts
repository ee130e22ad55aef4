import type { TicketState } from '../types/ticket-state.ts';
import { isInForce } from './is-in-force.ts';
import { listTickets } from './list-tickets.ts';
import { withTicket } from './with-ticket.ts';

const MAX_TICKETS = 4_096;
/** Tickets dropped at once, so that most entries do not look for any. */
const PRUNE_STEP = 512;
const MAX_REFUSED_ENTRIES = 1_024;

function pruneTickets(state: TicketState): TicketState {
  if (state.ticketCount < MAX_TICKETS + PRUNE_STEP) return state;
  const kept = listTickets(state).filter(
    (ticket, index) =>
      index < MAX_TICKETS || ticket.number === state.newest || isInForce(state, ticket),
  );
  return kept.reduce(withTicket, { ...state, pages: {}, ticketCount: 0 });
}

/** Drops the oldest tickets that are not in force, and the oldest refused entries, past their limits. */
export function prune(state: TicketState): TicketState {
  const pruned = pruneTickets(state);
  if (pruned.refusedEntries.length <= MAX_REFUSED_ENTRIES) return pruned;
  return { ...pruned, refusedEntries: pruned.refusedEntries.slice(-MAX_REFUSED_ENTRIES) };
}
