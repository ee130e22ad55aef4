import type { TicketState } from '../types/ticket-state.ts';
import { own } from './own.ts';

interface Change {
  readonly ticket: number;
  readonly position: number;
}

/** Returns the ticket that last changed `object`, for example `services.quotes`. */
export function lastChange(state: TicketState, object: string): Change | undefined {
  if (object === 'domains') return state.domains ?? undefined;
  const dot = object.indexOf('.');
  const name = object.slice(dot + 1);
  return object.slice(0, dot) === 'services' ? own(state.services, name) : own(state.tenants, name);
}
