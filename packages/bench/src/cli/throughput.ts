/** Measures requests and streamed tokens a second through one node. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { throughput } from '../experiments/throughput.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

const args = await yargs(hideBin(process.argv))
  .usage('$0 [--seed N] [--seconds S] [--against PROGRAM]')
  .option('seed', { type: 'number', default: 1 })
  .option('seconds', { type: 'number', default: 6, describe: 'time of one measurement' })
  .option('concurrency', { type: 'array', number: true, default: [1, 16, 64] })
  .option('rate', { type: 'array', number: true, default: [20] })
  .option('against', { type: 'string', describe: 'program of another version of the node' })
  .strict()
  .parseAsync();

const table = await throughput({
  ...{ seed: args.seed, seconds: args.seconds },
  log: (line) => process.stderr.write(`${line}\n`),
  programs: { ...(args.against === undefined ? {} : { before: args.against }), now: undefined },
  loops: [
    ...args.concurrency.map((concurrency) => ({
      ...{ name: `${concurrency} at a time`, concurrency, rate: 0 },
    })),
    ...args.rate.map((rate) => ({ name: `${rate} a second`, concurrency: 0, rate })),
  ],
});
process.stdout.write(`${toMarkdown(table.rows)}\n`);
