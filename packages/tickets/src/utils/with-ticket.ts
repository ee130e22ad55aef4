import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { getOwn } from './get-own.ts';
import { pageOf } from './page-of.ts';

/** Returns `state` with the ticket added or replaced. */
export function withTicket(state: TicketState, record: TicketRecord): TicketState {
  const key = pageOf(record.number);
  const existing = getOwn(state.pages, key);
  const page = { ...existing, [record.number]: record };
  const added = existing && Object.hasOwn(existing, record.number) ? 0 : 1;
  return {
    ...state,
    pages: { ...state.pages, [key]: page },
    ticketCount: state.ticketCount + added,
  };
}
