import { Failure } from '@ragwortrudder/core';
import type { Refusal } from '@ragwortrudder/tickets';

/**
 * The ticket conflicts with one accepted before it, or names a base ticket that was never accepted.
 */
export class TicketRefused extends Failure {
  readonly code = 'ticket-refused';

  constructor(number: number, refusal: Refusal) {
    const winner =
      refusal.lostTo === null
        ? 'the log, which holds no accepted ticket with the number in "against"'
        : `ticket ${refusal.lostTo}`;
    const objects = refusal.objects.length > 0 ? ` on ${refusal.objects.join(', ')}` : '';
    super(
      `ticket ${number} is refused (${refusal.reason}); it conflicts with ${winner}${objects}`,
      {
        status: 409,
        notRun: true,
        hint: 'read the configuration again, base the ticket on the newest ticket and give it a new number',
      },
    );
  }
}
