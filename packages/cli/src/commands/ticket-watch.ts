import { setTimeout as sleep } from 'node:timers/promises';
import type { CommandModule } from 'yargs';
import { ConnectionLost, OperatorClient, RequestRefused } from '@ragwortrudder/client';
import type { NodeStatus, TicketReport } from '@ragwortrudder/client';
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
const PERCENT = 100;
const DEFAULT_TIMEOUT_SECONDS = 900;

interface WatchOptions extends ConnectionOptions {
  readonly number: number;
  readonly timeout: number;
}

interface Sight {
  readonly report: TicketReport;
  /** Stages of the moves that are open, as the node sees them. */
  readonly stages: readonly string[];
}

async function stagesOf(
  client: OperatorClient,
  { moves }: TicketReport,
): Promise<readonly string[]> {
  const open = moves.filter(({ word }) => word === null).map(({ service }) => service);
  if (open.length === 0) return [];
  const status = await client.status();
  return status.moves
    .filter(({ moveId }) => open.some((service) => moveId.startsWith(`${service}@`)))
    .map(stageText);
}

function stageText({ moveId, state, plan }: NodeStatus['moves'][number]): string {
  const service = moveId.slice(0, moveId.lastIndexOf('@'));
  const share = Math.round((plan.share ?? 0) * PERCENT);
  return `  stage     ${service}: ${state}, ${share}% of the requests\n`;
}

/** Status of the ticket; undefined while no node can tell it. */
async function look(client: OperatorClient, number: number): Promise<Sight | undefined> {
  try {
    const report = await client.showTicket(number);
    return { report, stages: await stagesOf(client, report) };
  } catch (error) {
    if (error instanceof ConnectionLost) return undefined;
    if (error instanceof RequestRefused && error.retryable) return undefined;
    throw error;
  }
}

function textOf({ report, stages }: Sight): string {
  return ticketText(report) + stages.join('');
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
      const sight = await look(client, number);
      const text = sight ? textOf(sight) : 'no node answers; trying again\n';
      if (text !== shown) print({ json, value: sight ?? { reachable: false }, text });
      shown = text;
      if (sight && checkEnd(sight.report)) return;
      if (performance.now() + LOOK_PERIOD_MS > endsAt) throw new WatchTimeout(number, timeout);
      await sleep(LOOK_PERIOD_MS);
    }
  },
};
