import type { CommandModule } from 'yargs';
import { OperatorClient } from '@ragwortrudder/client';
import type { TicketReport } from '@ragwortrudder/client';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { refusalText } from '../utils/refusal-text.ts';
import { table } from '../utils/table.ts';

const HEADINGS = ['TICKET', 'STATUS', 'AUTHOR', 'AT', 'IN FORCE', 'MOVES OR REFUSAL'];

function rowOf({ number, status, refusal, inForce, moves, author, at }: TicketReport): string[] {
  const domains = Object.values(inForce);
  const moveTexts = moves.map(
    ({ service, to, word }) => `${service} to ${to}: ${word?.word ?? 'open'}`,
  );
  return [
    String(number),
    status,
    author ?? '',
    at === undefined ? '' : new Date(at).toISOString(),
    `${domains.filter(Boolean).length}/${domains.length} domains`,
    refusal ? refusalText(refusal) : moveTexts.join('; '),
  ];
}

/** `ticket list`: lists the newest tickets. */
export const ticketListCommand: CommandModule<object, ConnectionOptions> = {
  command: 'list',
  describe: 'list the newest tickets',
  builder: (args) =>
    addConnectionOptions(args).example(
      '$0 ticket list --node 10.0.0.1:7000 --key-file operator.key',
      'the newest tickets, newest first',
    ),
  handler: async ({ node, 'key-file': keyFile, json }) => {
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const list = await client.listTickets();
    print({ json, value: list, text: table(HEADINGS, list.tickets.map(rowOf)) });
  },
};
