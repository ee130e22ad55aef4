import type { TicketReport } from '@ragwortrudder/client';

/** Why a ticket was refused, for people. */
export function refusalText(refusal: NonNullable<TicketReport['refusal']>): string {
  const { reason, lostTo, objects } = refusal;
  const winner = lostTo === null ? 'no accepted ticket' : `ticket ${lostTo}`;
  const where = objects.length > 0 ? ` on ${objects.join(', ')}` : '';
  return `${reason}, lost to ${winner}${where}`;
}
