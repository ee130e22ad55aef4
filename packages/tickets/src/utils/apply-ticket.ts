import type { Entry } from '@ragwortrudder/log';
import type { Ticket } from '../types/ticket.ts';
import type { TicketRecord } from '../types/ticket-record.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { applyService } from './apply-service.ts';
import { objectsOf } from './objects-of.ts';
import { prune } from './prune.ts';
import { refusalOf } from './refusal-of.ts';
import { findTicket } from './find-ticket.ts';
import { withTicket } from './with-ticket.ts';

function refuseEntry(state: TicketState, number: number, entry: Entry): TicketState {
  if (state.refusedEntries.some(({ entryId }) => entryId === entry.id)) return state;
  const refused = {
    entryId: entry.id,
    number,
    position: entry.position,
    refusal: { reason: 'number-used', lostTo: number, objects: [] },
  } as const;
  return { ...state, refusedEntries: [...state.refusedEntries, refused] };
}

function recordOf(state: TicketState, ticket: Ticket, entry: Entry): TicketRecord {
  return {
    number: ticket.number,
    author: ticket.author,
    entryId: entry.id,
    position: entry.position,
    at: entry.time,
    objects: objectsOf(ticket),
    refusal: refusalOf(state, ticket),
    moves: {},
  };
}

function applyContent(before: TicketState, ticket: Ticket, entry: Entry): TicketState {
  const { number } = ticket;
  const { position } = entry;
  let state = { ...before, newest: Math.max(before.newest, number) };
  for (const [name, service] of Object.entries(ticket.services)) {
    state = applyService(state, { name, service, ticket: number, entry });
  }
  for (const [name, share] of Object.entries(ticket.tenants)) {
    const tenant = { share, ticket: number, position };
    state = { ...state, tenants: { ...state.tenants, [name]: tenant } };
  }
  if (!ticket.domains) return state;
  return { ...state, domains: { names: ticket.domains, ticket: number, position } };
}

/** Accepts or refuses a ticket; a repeated entry leaves the state unchanged. */
export function applyTicket(before: TicketState, ticket: Ticket, entry: Entry): TicketState {
  const existing = findTicket(before, ticket.number);
  if (existing?.entryId === entry.id) return before;
  if (existing) return prune(refuseEntry(before, ticket.number, entry));
  const record = recordOf(before, ticket, entry);
  const state = withTicket(before, record);
  return prune(record.refusal ? state : applyContent(state, ticket, entry));
}
