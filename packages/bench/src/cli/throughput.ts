/** Measures requests and streamed tokens per second through one node. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { throughput } from '../experiments/throughput.ts';
import { throughputSteady } from '../experiments/throughput-steady.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

const args = await yargs(hideBin(process.argv))
  .usage('$0 [--seed N] [--seconds S] [--against PROGRAM]')
  .option('seed', { type: 'number', default: 1 })
  .option('seconds', {
    type: 'number',
    default: 6,
    describe: 'duration of each measurement in seconds',
  })
  .option('concurrency', { type: 'array', number: true, default: [1, 16, 64] })
  .option('rate', { type: 'array', number: true, default: [20] })
  .option('against', {
    type: 'string',
    describe: 'node program of another version to compare with',
  })
  .option('steady', {
    type: 'boolean',
    default: false,
    describe: 'measure memory over one minute instead',
  })
  .strict()
  .parseAsync();

const log = (line: string) => process.stderr.write(`${line}\n`);
const before = args.against === undefined ? {} : { before: args.against };
const loops = [
  ...args.concurrency.map((concurrency) => ({
    ...{ name: `${concurrency} at a time`, concurrency, rate: 0 },
  })),
  ...args.rate.map((rate) => ({ name: `${rate} a second`, concurrency: 0, rate })),
];
const table = args.steady
  ? await throughputSteady({ seed: args.seed, log })
  : await throughput({
      ...{ seed: args.seed, seconds: args.seconds, log, loops },
      programs: { ...before, now: undefined },
    });
process.stdout.write(`${toMarkdown(table.rows)}\n`);
