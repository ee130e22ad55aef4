import { setTimeout as sleep } from 'node:timers/promises';
import type { CommandModule } from 'yargs';
import { ConnectionLost, OperatorClient, RequestRefused } from '@ragwortrudder/client';
import type { TicketReport } from '@ragwortrudder/client';
import { MoveUndone } from '../errors/move-undone.ts';
import { TicketLost } from '../errors/ticket-lost.ts';
import { WatchTimeout } from '../errors/watch-timeout.ts';
import { print } from '../node/print.ts';
import { readKey } from '../node/read-key.ts';
import type { ConnectionOptions } from '../types/connection-options.ts';
import { addConnectionOptions } from '../utils/add-connection-options.ts';
import { checkTicketNumber } from '../utils/check-ticket-number.ts';
import { ticketEnd } from '../utils/ticket-end.ts';
import { ticketText } from '../utils/ticket-text.ts';

const LOOK_PERIOD_MS = 500;
const MS_PER_SECOND = 1000;
const DEFAULT_TIMEOUT_SECONDS = 900;

interface WatchOptions extends ConnectionOptions {
  readonly number: number;
  readonly timeout: number;
}

/** Status of the ticket; undefined while no node can tell it. */
async function look(client: OperatorClient, number: number): Promise<TicketReport | undefined> {
  try {
    return await client.showTicket(number);
  } catch (error) {
    if (error instanceof ConnectionLost) return undefined;
    if (error instanceof RequestRefused && error.retryable) return undefined;
    throw error;
  }
}

function checkEnd(report: TicketReport): boolean {
  const end = ticketEnd(report);
  if (end === 'refused') throw new TicketLost(report);
  if (end === 'undone') {
    const undone = report.moves.find(({ word }) => word?.word === 'undone');
    throw new MoveUndone(undone?.service ?? '', undone?.word?.reason ?? '');
  }
  return end === 'complete';
}

/** `ticket watch`: shows each change of a ticket until nothing more happens to it. */
export const ticketWatchCommand: CommandModule<object, WatchOptions> = {
  command: 'watch <number>',
  describe:
    'show each change of a ticket; ends when it is refused, or is in force everywhere and each of its moves is done or undone',
  builder: (args) =>
    addConnectionOptions(args)
      .positional('number', {
        type: 'number',
        demandOption: true,
        describe: 'number of the ticket',
        coerce: checkTicketNumber,
      })
      .option('timeout', {
        type: 'number',
        default: DEFAULT_TIMEOUT_SECONDS,
        describe: 'time in seconds after which the command gives up with exit code 6',
      })
      .example(
        '$0 ticket watch 2 --timeout 120 --node 10.0.0.1:7000 --key-file operator.key',
        'follow a ticket for at most two minutes',
      ),
  handler: async ({ number, timeout, node, 'key-file': keyFile, json }) => {
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const endsAt = performance.now() + timeout * MS_PER_SECOND;
    let shown = '';
    for (;;) {
      const report = await look(client, number);
      const text = report ? ticketText(report) : 'no node answers; trying again\n';
      if (text !== shown) print({ json, value: report ?? { reachable: false }, text });
      shown = text;
      if (report && checkEnd(report)) return;
      if (performance.now() + LOOK_PERIOD_MS > endsAt) throw new WatchTimeout(number, timeout);
      await sleep(LOOK_PERIOD_MS);
    }
  },
};
