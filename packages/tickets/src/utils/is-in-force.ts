import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { lastChange } from './last-change.ts';

/** True when a ticket was accepted and a later one has not replaced every object that it named. */
export function isInForce(state: TicketState, { refusal, objects, number }: TicketRecord): boolean {
  if (refusal) return false;
  return objects.some((object) => lastChange(state, object)?.ticket === number);
}
