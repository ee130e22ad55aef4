import type { TicketState } from '../types/ticket-state.ts';
import { isInForce } from './is-in-force.ts';

const MAX_TICKETS = 4_096;
/** Tickets dropped at once, so that most entries do not look for any. */
const PRUNE_STEP = 512;
const MAX_REFUSED_ENTRIES = 1_024;

function pruneTickets(state: TicketState): TicketState {
  const all = Object.values(state.tickets);
  if (all.length < MAX_TICKETS + PRUNE_STEP) return state;
  const kept = all
    .sort((a, b) => b.position - a.position)
    .filter(
      (ticket, index) =>
        index < MAX_TICKETS || ticket.number === state.newest || isInForce(state, ticket),
    );
  const tickets = Object.fromEntries(kept.map((ticket) => [ticket.number, ticket]));
  return { ...state, tickets };
}

/** Drops the oldest tickets that are not in force, and the oldest refused entries, past their limits. */
export function prune(state: TicketState): TicketState {
  const pruned = pruneTickets(state);
  if (pruned.refusedEntries.length <= MAX_REFUSED_ENTRIES) return pruned;
  return { ...pruned, refusedEntries: pruned.refusedEntries.slice(-MAX_REFUSED_ENTRIES) };
}
