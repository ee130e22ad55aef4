import type { Submission } from '../types/submission.ts';
import type { TicketState } from '../types/ticket-state.ts';
import type { TicketStatus } from '../types/ticket-status.ts';
import { findTicket } from './find-ticket.ts';
import { ticketStatus } from './ticket-status.ts';

/**
 * Returns the status of one submission of a ticket.
 * It differs from the status of the ticket number when another entry had already used the number.
 */
export function submissionStatus(
  state: TicketState,
  { number, entryId }: Submission,
  appliedByDomain: Readonly<Record<string, number>>,
): TicketStatus {
  const record = findTicket(state, number);
  if (!record || record.entryId === entryId) return ticketStatus(state, number, appliedByDomain);
  const refusal = { reason: 'number-used', lostTo: number, objects: [] } as const;
  return { number, status: 'refused', refusal, inForce: {}, moves: [] };
}
