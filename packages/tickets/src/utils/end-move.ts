import type { Move } from '../types/move.ts';
import type { MoveDecision } from '../types/move-decision.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { getOwn } from './get-own.ts';
import { findTicket } from './find-ticket.ts';
import { withTicket } from './with-ticket.ts';

/** Returns `state` with the given move in progress ended by the decision `word`. */
export function endMove(state: TicketState, move: Move, word: MoveDecision): TicketState {
  const remaining = Object.entries(state.moves).filter(([name]) => name !== move.service);
  const moves = Object.fromEntries(remaining);
  const service = getOwn(state.services, move.service);
  const record = findTicket(state, move.ticket);
  if (!service || !record) return { ...state, moves };
  const effectiveVersion = word.word === 'done' ? move.to : move.from;
  const ended = {
    ...record,
    moves: { ...record.moves, [move.service]: { ...move, word } },
  };
  return {
    ...withTicket(state, ended),
    moves,
    services: { ...state.services, [move.service]: { ...service, effectiveVersion } },
  };
}
