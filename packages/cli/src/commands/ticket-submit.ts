import type { CommandModule } from 'yargs';
import { OperatorClient } from '@ragwortrudder/client';
import { parseTicket } from '@ragwortrudder/tickets';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import { readText } from '../node/read-text.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { parseJson } from '../utils/parse-json.ts';
import { ticketText } from '../utils/ticket-text.ts';

interface SubmitOptions extends ConnectionOptions {
  readonly file: string;
}

/** The author is the operator whose key sends the ticket; any other stated author is replaced. */
const ANY_AUTHOR = { author: 'operator' };

/** `ticket submit`: publishes a ticket. */
export const ticketSubmitCommand: CommandModule<object, SubmitOptions> = {
  command: 'submit <file>',
  describe: 'publish a ticket; sending the same one again has no further effect',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'file of a ticket (JSON)',
      })
      .example(
        '$0 ticket submit ticket-2.json --node 10.0.0.1:7000 --key-file operator.key',
        'publish a ticket',
      ),
  handler: async ({ file, node, 'key-file': keyFile, json }) => {
    const ticket = parseJson(await readText(file), file);
    if (typeof ticket === 'object') parseTicket({ ...ticket, ...ANY_AUTHOR });
    else parseTicket(ticket);
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const report = await client.submitTicket(ticket);
    print({ json, value: report, text: ticketText(report) });
  },
};
