import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { own } from './own.ts';
import { pageOf } from './page-of.ts';

/** Returns the ticket of that number; undefined when there is none or it is no longer kept. */
export function ticketAt({ pages }: TicketState, number: number): TicketRecord | undefined {
  return own(own(pages, pageOf(number)) ?? {}, number);
}
