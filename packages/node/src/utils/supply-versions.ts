import type { TicketState } from '@ragwortrudder/tickets';

/** Versions of service `name` that need capacity, the desired one last. */
export function supplyVersions(state: TicketState, name: string): readonly string[] {
  const entry = state.services[name];
  if (!entry?.service) return [];
  const effective = entry.effectiveVersion ?? entry.service.version;
  const move = Object.hasOwn(state.moves, name) ? state.moves[name] : undefined;
  const isOpen = move?.word === null && move.to !== effective;
  return isOpen ? [effective, move.to] : [effective];
}
