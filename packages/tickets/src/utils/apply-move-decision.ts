import type { Entry } from '@ragwortrudder/log';
import type { MoveDecisionEntry } from '../types/move-decision-entry.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { endMove } from './end-move.ts';
import { getOwn } from './get-own.ts';

/** Ends a move in progress; only the first decision on a move takes effect. */
export function applyMoveDecision(
  state: TicketState,
  { ticket, service, word, reason, by }: MoveDecisionEntry,
  { position, time }: Entry,
): TicketState {
  const openMove = getOwn(state.moves, service);
  if (openMove?.ticket !== ticket) return state;
  return endMove(state, openMove, { word, reason, by, position, at: time });
}
