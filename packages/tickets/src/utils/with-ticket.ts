import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { own } from './own.ts';
import { pageOf } from './page-of.ts';

/** Returns `state` with the ticket added or replaced. */
export function withTicket(state: TicketState, record: TicketRecord): TicketState {
  const key = pageOf(record.number);
  const known = own(state.pages, key);
  const page = { ...known, [record.number]: record };
  const added = known && Object.hasOwn(known, record.number) ? 0 : 1;
  return {
    ...state,
    pages: { ...state.pages, [key]: page },
    ticketCount: state.ticketCount + added,
  };
}
