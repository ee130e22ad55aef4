import type { TicketReport } from '@ragwortrudder/client';

/** Describes why a ticket was refused, as human-readable text. */
export function refusalText(refusal: NonNullable<TicketReport['refusal']>): string {
  const { reason, lostTo, objects } = refusal;
  const winner = lostTo === null ? 'no accepted ticket' : `ticket ${lostTo}`;
  const conflictText = objects.length > 0 ? ` on ${objects.join(', ')}` : '';
  return `${reason}, lost to ${winner}${conflictText}`;
}
