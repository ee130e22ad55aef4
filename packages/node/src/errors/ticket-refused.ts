import { Failure } from '@ragwortrudder/core';
import type { Refusal } from '@ragwortrudder/tickets';

/** The log holds a ticket that this one lost to. */
export class TicketRefused extends Failure {
  readonly code = 'ticket-refused';

  constructor(number: number, refusal: Refusal) {
    const winner = refusal.lostTo === null ? 'no accepted ticket' : `ticket ${refusal.lostTo}`;
    const objects = refusal.objects.length > 0 ? ` on ${refusal.objects.join(', ')}` : '';
    super(`ticket ${number} is refused (${refusal.reason}); it lost to ${winner}${objects}`, {
      status: 409,
      notRun: true,
      hint: 'read the state again, write the ticket against the newest one and give it a new number',
    });
  }
}
