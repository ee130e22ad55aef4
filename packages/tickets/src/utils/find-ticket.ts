import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { getOwn } from './get-own.ts';
import { pageOf } from './page-of.ts';

/**
 * Returns the ticket with the given number; undefined if there is none or it is no longer retained.
 */
export function findTicket({ pages }: TicketState, number: number): TicketRecord | undefined {
  return getOwn(getOwn(pages, pageOf(number)) ?? {}, number);
}
