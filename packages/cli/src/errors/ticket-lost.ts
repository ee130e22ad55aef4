import type { TicketReport } from '@ragwortrudder/client';
import { Failure } from '@ragwortrudder/core';
import { refusalText } from '../utils/refusal-text.ts';

/** The ticket is refused and will never be in force. */
export class TicketLost extends Failure {
  readonly code = 'ticket-refused';

  constructor({ number, refusal }: TicketReport) {
    super(`ticket ${number} is refused${refusal ? `: ${refusalText(refusal)}` : ''}`, {
      notRun: true,
      hint: 'rewrite it against the newest state and submit it with a new number',
    });
  }
}
