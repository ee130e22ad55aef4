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

/** Satisfies the ticket schema; the node replaces it by the operator whose key submits the ticket. */
const PLACEHOLDER_AUTHOR = { author: 'operator' };

/** `ticket submit`: publishes a ticket. */
export const ticketSubmitCommand: CommandModule<object, SubmitOptions> = {
  command: 'submit <file>',
  describe: 'publish a ticket; submitting the same ticket again has no further effect',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('file', {
        type: 'string',
        demandOption: true,
        describe: 'ticket file (JSON)',
      })
      .example(
        '$0 ticket submit ticket-2.json --node 10.0.0.1:7000 --key-file operator.key',
        'publish a ticket',
      ),
  handler: async ({ file, node, 'key-file': keyFile, json }) => {
    const ticket = parseJson(await readText(file), file);
    if (typeof ticket === 'object') parseTicket({ ...ticket, ...PLACEHOLDER_AUTHOR });
    else parseTicket(ticket);
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const report = await client.submitTicket(ticket);
    print({ json, value: report, text: ticketText(report) });
  },
};
