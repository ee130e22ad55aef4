/**
 * Measures the cost of the control plane per node by the number of nodes, runners, tenants, tickets
 * and requests.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { controlCost } from '../experiments/control-cost.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

const args = await yargs(hideBin(process.argv))
  .usage('$0 [--vary NAME ...] [--seed N]')
  .option('seed', { type: 'number', default: 1 })
  .option('vary', {
    type: 'array',
    string: true,
    default: ['nodes', 'runners', 'tenants', 'tickets', 'ticket-rate', 'load', 'appends'],
  })
  .strict()
  .parseAsync();

for (const varied of args.vary) {
  const log = (line: string) => process.stderr.write(`${varied}: ${line}\n`);
  const table = await controlCost({ seed: args.seed, log }, varied);
  process.stdout.write(`\n${varied}\n\n${toMarkdown(table.rows)}\n`);
}
