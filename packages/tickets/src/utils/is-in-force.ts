import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { lastChange } from './last-change.ts';

/**
 * True if a ticket was accepted and at least one of its objects has not been replaced by a later
 * ticket.
 */
export function isInForce(state: TicketState, { refusal, objects, number }: TicketRecord): boolean {
  if (refusal) return false;
  return objects.some((object) => lastChange(state, object)?.ticket === number);
}
