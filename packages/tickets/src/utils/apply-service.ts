import type { Entry } from '@ragwortrudder/log';
import type { Move } from '../types/move.ts';
import type { Service } from '../types/service.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { endMove } from './end-move.ts';
import { getOwn } from './get-own.ts';
import { findTicket } from './find-ticket.ts';
import { withTicket } from './with-ticket.ts';

/** Change of one service by an accepted ticket. */
interface ServiceChange {
  readonly name: string;
  readonly service: Service | null;
  readonly ticket: number;
  readonly entry: Entry;
}

function supersedeOpenMove(
  state: TicketState,
  { name, ticket, entry }: ServiceChange,
): TicketState {
  const openMove = getOwn(state.moves, name);
  if (!openMove) return state;
  return endMove(state, openMove, {
    word: 'undone',
    reason: 'superseded',
    by: `ticket ${ticket}`,
    position: entry.position,
    at: entry.time,
  });
}

function createMove(state: TicketState, change: ServiceChange): Move | undefined {
  const { name, service, ticket, entry } = change;
  if (!service) return undefined;
  const from = getOwn(state.services, name)?.effectiveVersion ?? service.previous;
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
  const record = findTicket(state, move.ticket);
  if (!record) return state;
  const started = { ...record, moves: { ...record.moves, [move.service]: move } };
  const moves = { ...state.moves, [move.service]: move };
  return { ...withTicket(state, started), moves };
}

/** Replaces a service; ends its move in progress and starts a new one when its version changes. */
export function applyService(before: TicketState, change: ServiceChange): TicketState {
  const { name, service, ticket, entry } = change;
  const state = supersedeOpenMove(before, change);
  const move = createMove(state, change);
  const effectiveVersion = move?.from ?? service?.version ?? null;
  const next = { service, effectiveVersion, ticket, position: entry.position };
  const replaced = { ...state, services: { ...state.services, [name]: next } };
  return move ? withMove(replaced, move) : replaced;
}
