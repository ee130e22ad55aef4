import type { Refusal } from '../types/refusal.ts';
import type { Ticket } from '../types/ticket.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { lastChange } from './last-change.ts';
import { objectsOf } from './objects-of.ts';
import { findTicket } from './find-ticket.ts';

const BEFORE_FIRST_ENTRY = -1;

/**
 * Returns the position of the ticket that `ticket` is based on; undefined if that was not accepted.
 */
function positionOfBase(state: TicketState, { against }: Ticket): number | undefined {
  if (against === 0) return BEFORE_FIRST_ENTRY;
  const base = findTicket(state, against);
  return base && !base.refusal ? base.position : undefined;
}

/**
 * Returns the reason to refuse `ticket` given the tickets accepted before it; null if it is valid.
 */
export function refusalOf(state: TicketState, ticket: Ticket): Refusal | null {
  const base = positionOfBase(state, ticket);
  if (base === undefined) return { reason: 'against-unknown', lostTo: null, objects: [] };
  const conflicts = objectsOf(ticket).flatMap((object) => {
    const change = lastChange(state, object);
    return change && change.position > base ? [{ object, change }] : [];
  });
  const [first] = conflicts.sort((a, b) => a.change.position - b.change.position);
  if (!first) return null;
  return {
    reason: 'changed-since',
    lostTo: first.change.ticket,
    objects: conflicts.map(({ object }) => object),
  };
}
