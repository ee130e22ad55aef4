import type { Entry } from '@ragwortrudder/log';
import type { MoveWordEntry } from '../types/move-word-entry.ts';
import type { TicketState } from '../types/ticket-state.ts';
import { endMove } from './end-move.ts';
import { own } from './own.ts';

/** Ends an open move; the first word stands. */
export function applyMoveWord(
  state: TicketState,
  { ticket, service, word, reason, by }: MoveWordEntry,
  { position, time }: Entry,
): TicketState {
  const open = own(state.moves, service);
  if (open?.ticket !== ticket) return state;
  return endMove(state, open, { word, reason, by, position, at: time });
}
