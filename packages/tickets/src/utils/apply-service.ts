import type { Entry } from '@ragwortrudder/log';
import type { Move } from '../types/move.ts';
import type { Service } from '../types/service.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { endMove } from './end-move.ts';
import { own } from './own.ts';
import { ticketAt } from './ticket-at.ts';
import { withTicket } from './with-ticket.ts';

/** One service of an accepted ticket. */
interface ServiceChange {
  readonly name: string;
  readonly service: Service | null;
  readonly ticket: number;
  readonly entry: Entry;
}

function supersede(state: TicketState, { name, ticket, entry }: ServiceChange): TicketState {
  const open = own(state.moves, name);
  if (!open) return state;
  return endMove(state, open, {
    word: 'undone',
    reason: 'superseded',
    by: `ticket ${ticket}`,
    position: entry.position,
    at: entry.time,
  });
}

function startedMove(state: TicketState, change: ServiceChange): Move | undefined {
  const { name, service, ticket, entry } = change;
  if (!service) return undefined;
  const from = own(state.services, name)?.effectiveVersion ?? service.previous;
  if (from === undefined || from === service.version) return undefined;
  return {
    service: name,
    ticket,
    from,
    to: service.version,
    position: entry.position,
    startedAt: entry.time,
    takeoverBy: service.takeoverBy ?? null,
    word: null,
  };
}

function withMove(state: TicketState, move: Move): TicketState {
  const record = ticketAt(state, move.ticket);
  if (!record) return state;
  const started = { ...record, moves: { ...record.moves, [move.service]: move } };
  const moves = { ...state.moves, [move.service]: move };
  return { ...withTicket(state, started), moves };
}

/** Replaces a service; ends its open move and starts one when its version changes. */
export function applyService(before: TicketState, change: ServiceChange): TicketState {
  const { name, service, ticket, entry } = change;
  const state = supersede(before, change);
  const move = startedMove(state, change);
  const effectiveVersion = move?.from ?? service?.version ?? null;
  const next = { service, effectiveVersion, ticket, position: entry.position };
  const replaced = { ...state, services: { ...state.services, [name]: next } };
  return move ? withMove(replaced, move) : replaced;
}
