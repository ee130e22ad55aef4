import type { TicketState } from '../types/ticket-state.ts';
import { isInForce } from './is-in-force.ts';
import { listTickets } from './list-tickets.ts';
import { withTicket } from './with-ticket.ts';

const MAX_TICKETS = 4_096;
/**
 * Number of tickets above the limit that triggers pruning; batching spares most entries the scan.
 */
const PRUNE_BATCH_SIZE = 512;
const MAX_REFUSED_ENTRIES = 1_024;

function pruneTickets(state: TicketState): TicketState {
  if (state.ticketCount < MAX_TICKETS + PRUNE_BATCH_SIZE) return state;
  const kept = listTickets(state).filter(
    (ticket, index) =>
      index < MAX_TICKETS || ticket.number === state.newest || isInForce(state, ticket),
  );
  return kept.reduce(withTicket, { ...state, pages: {}, ticketCount: 0 });
}

/**
 * Drops the oldest tickets that are not in force and the oldest refused entries beyond their
 * limits.
 */
export function prune(state: TicketState): TicketState {
  const pruned = pruneTickets(state);
  if (pruned.refusedEntries.length <= MAX_REFUSED_ENTRIES) return pruned;
  return { ...pruned, refusedEntries: pruned.refusedEntries.slice(-MAX_REFUSED_ENTRIES) };
}
