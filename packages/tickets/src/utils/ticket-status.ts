import { POSITIONS_PER_RECORD } from '@ragwortrudder/log';
import type { TicketState } from '../types/ticket-state.ts';
import type { TicketStatus } from '../types/ticket-status.ts';
import { isInForce } from './is-in-force.ts';
import { findTicket } from './find-ticket.ts';

/** Next offset to fold, keyed by failure domain: the lowest among the domain's nodes. */
type AppliedByDomain = Readonly<Record<string, number>>;

/** Returns the status of a ticket and the failure domains in which it is in force. */
export function ticketStatus(
  state: TicketState,
  number: number,
  appliedByDomain: AppliedByDomain,
): TicketStatus {
  const record = findTicket(state, number);
  if (!record) return { number, status: 'unknown', refusal: null, inForce: {}, moves: [] };
  const moves = Object.values(record.moves);
  if (record.refusal) {
    return { number, status: 'refused', refusal: record.refusal, inForce: {}, moves };
  }
  const isCurrent = isInForce(state, record);
  const offset = Math.floor(record.position / POSITIONS_PER_RECORD);
  const inForce = Object.fromEntries(
    Object.entries(appliedByDomain).map(([domain, next]) => [domain, isCurrent && next > offset]),
  );
  return { number, status: isCurrent ? 'accepted' : 'superseded', refusal: null, inForce, moves };
}
