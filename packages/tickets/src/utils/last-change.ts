import type { TicketState } from '../types/ticket-state.ts';
import { getOwn } from './get-own.ts';

interface ObjectChange {
  readonly ticket: number;
  readonly position: number;
}

/** Returns the last change of `object`, for example `services.quotes`. */
export function lastChange(state: TicketState, object: string): ObjectChange | undefined {
  if (object === 'domains') return state.domains ?? undefined;
  const dot = object.indexOf('.');
  const name = object.slice(dot + 1);
  return object.slice(0, dot) === 'services'
    ? getOwn(state.services, name)
    : getOwn(state.tenants, name);
}
