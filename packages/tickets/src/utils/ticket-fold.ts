import { InvalidInput } from '@ragwortrudder/core';
import type { Entry, Fold } from '@ragwortrudder/log';
import { MoveDecisionEntry } from '../types/move-decision-entry.ts';
import { TicketEntry } from '../types/ticket-entry.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { applyMoveDecision } from './apply-move-decision.ts';
import { applyTicket } from './apply-ticket.ts';

const INITIAL: TicketState = {
  position: -1,
  newest: 0,
  pages: {},
  ticketCount: 0,
  refusedEntries: [],
  services: {},
  tenants: {},
  domains: null,
  moves: {},
  ignored: 0,
};

function applyBody(state: TicketState, entry: Entry): TicketState {
  const ticket = TicketEntry.safeParse(entry.body);
  if (ticket.success) return applyTicket(state, ticket.data.ticket, entry);
  const decision = MoveDecisionEntry.safeParse(entry.body);
  if (decision.success) return applyMoveDecision(state, decision.data, entry);
  return { ...state, ignored: state.ignored + 1 };
}

function isTicketState(data: unknown): data is TicketState {
  if (typeof data !== 'object' || data === null) return false;
  return Object.keys(INITIAL).every((key) => key in data);
}

/** Fold of the `tickets` stream; ignores entries at or before the state's position. */
export const ticketFold: Fold<TicketState> = {
  initial: INITIAL,
  apply(state, entry) {
    if (entry.position <= state.position) return state;
    return { ...applyBody(state, entry), position: entry.position };
  },
  snapshotter: {
    serialize: (state) => state,
    restore(data) {
      if (!isTicketState(data))
        throw new InvalidInput('the snapshot is not a valid ticket state', []);
      return data;
    },
  },
};
