import type { CommandModule } from 'yargs';
import { ticketListCommand } from './ticket-list.ts';
import { ticketShowCommand } from './ticket-show.ts';
import { ticketSubmitCommand } from './ticket-submit.ts';
import { ticketWatchCommand } from './ticket-watch.ts';

/** `ticket`: commands for operators that work on tickets. */
export const ticketCommand: CommandModule = {
  command: 'ticket',
  describe: 'submit and follow numbered configuration changes',
  builder: (args) =>
    args
      .command(ticketSubmitCommand)
      .command(ticketShowCommand)
      .command(ticketListCommand)
      .command(ticketWatchCommand)
      .demandCommand(1, 'name a command: submit, show, list or watch')
      .example('$0 ticket submit ticket-2.json --node 10.0.0.1:7000', 'publish a ticket')
      .example(
        '$0 ticket watch 2 --node 10.0.0.1:7000',
        'follow a ticket until its outcome is final',
      ),
  handler: () => undefined,
};
