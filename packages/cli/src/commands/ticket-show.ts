import type { CommandModule } from 'yargs';
import { OperatorClient } from '@ragwortrudder/client';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { checkTicketNumber } from '../utils/check-ticket-number.ts';
import { ticketText } from '../utils/ticket-text.ts';

interface ShowOptions extends ConnectionOptions {
  readonly number: number;
}

/** `ticket show`: shows the status of a ticket. */
export const ticketShowCommand: CommandModule<object, ShowOptions> = {
  command: 'show <number>',
  describe: 'show where a ticket is in force or why it was refused, and the state of its moves',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('number', {
        type: 'number',
        demandOption: true,
        describe: 'number of the ticket',
        coerce: checkTicketNumber,
      })
      .example('$0 ticket show 2 --node 10.0.0.1:7000 --key-file operator.key', 'show one ticket'),
  handler: async ({ number, node, 'key-file': keyFile, json }) => {
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const report = await client.showTicket(number);
    print({ json, value: report, text: ticketText(report) });
  },
};
