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
import { ticketOutcome } from '../utils/ticket-outcome.ts';
import { ticketText } from '../utils/ticket-text.ts';

const POLL_PERIOD_MS = 500;
const MS_PER_SECOND = 1000;
const PERCENT = 100;
const DEFAULT_TIMEOUT_SECONDS = 900;

interface WatchOptions extends ConnectionOptions {
  readonly number: number;
  readonly timeout: number;
}

interface TicketSnapshot {
  readonly report: TicketReport;
  /** Stages of the open moves, as the node reports them. */
  readonly stages: readonly string[];
}

async function fetchStages(
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

/** Fetches the status of the ticket; undefined if no node is reachable or the refusal is retryable. */
async function fetchSnapshot(
  client: OperatorClient,
  number: number,
): Promise<TicketSnapshot | undefined> {
  try {
    const report = await client.showTicket(number);
    return { report, stages: await fetchStages(client, report) };
  } catch (error) {
    if (error instanceof ConnectionLost) return undefined;
    if (error instanceof RequestRefused && error.retryable) return undefined;
    throw error;
  }
}

function snapshotText({ report, stages }: TicketSnapshot): string {
  return ticketText(report) + stages.join('');
}

/**
 * True once the ticket is in force everywhere and all its moves are done.
 * @throws {@link TicketLost} if it is refused, {@link MoveUndone} if one of its moves was rolled back.
 */
function isComplete(report: TicketReport): boolean {
  const outcome = ticketOutcome(report);
  if (outcome === 'refused') throw new TicketLost(report);
  if (outcome === 'undone') {
    const undoneMove = report.moves.find(({ word }) => word?.word === 'undone');
    throw new MoveUndone(undoneMove?.service ?? '', undoneMove?.word?.reason ?? '');
  }
  return outcome === 'complete';
}

/** `ticket watch`: shows each change of a ticket until its outcome is final. */
export const ticketWatchCommand: CommandModule<object, WatchOptions> = {
  command: 'watch <number>',
  describe:
    'show each change of a ticket; ends when the ticket is refused, or is in force everywhere and each of its moves is done or undone',
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
        describe: 'time in seconds after which the command exits with code 6',
      })
      .example(
        '$0 ticket watch 2 --timeout 120 --node 10.0.0.1:7000 --key-file operator.key',
        'follow a ticket for at most two minutes',
      ),
  handler: async ({ number, timeout, node, 'key-file': keyFile, json }) => {
    const client = new OperatorClient({ nodes: node, key: await readKey(keyFile) });
    const endsAt = performance.now() + timeout * MS_PER_SECOND;
    let printedText = '';
    for (;;) {
      const snapshot = await fetchSnapshot(client, number);
      const text = snapshot ? snapshotText(snapshot) : 'no node answered; retrying\n';
      if (text !== printedText) print({ json, value: snapshot ?? { reachable: false }, text });
      printedText = text;
      if (snapshot && isComplete(snapshot.report)) return;
      if (performance.now() + POLL_PERIOD_MS > endsAt) throw new WatchTimeout(number, timeout);
      await sleep(POLL_PERIOD_MS);
    }
  },
};
