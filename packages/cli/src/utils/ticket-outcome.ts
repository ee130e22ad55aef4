import type { TicketReport } from '@ragwortrudder/client';

/** True if all nodes of all failure domains have applied the ticket. */
function isInForce({ inForce }: TicketReport): boolean {
  const domains = Object.values(inForce);
  return domains.length > 0 && domains.every(Boolean);
}

/**
 * Returns the final outcome of a ticket: refused, or in force everywhere with every move ended.
 * Undefined while the ticket can still change.
 */
export function ticketOutcome(report: TicketReport): 'refused' | 'undone' | 'complete' | undefined {
  if (report.status === 'refused') return 'refused';
  if (report.status === 'unknown' || !isInForce(report)) return undefined;
  if (report.moves.some(({ word }) => word === null)) return undefined;
  return report.moves.some(({ word }) => word?.word === 'undone') ? 'undone' : 'complete';
}
