/** Runs an experiment with the components as separate processes and prints the result tables. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { experiments } from '../experiments/index.ts';
import { saveTables } from '../node/save-tables.ts';
import type { ResultTable } from '../types/result-table.ts';
import { compareWithBest } from '../utils/compare-with-best.ts';
import { medianRows } from '../utils/median-rows.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

const args = await yargs(hideBin(process.argv))
  .usage('$0 EXPERIMENT [--seed N] [--seeds K] [--save]')
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'runs, with consecutive seeds' })
  .option('save', { type: 'boolean', default: false, describe: 'write to docs/measurements' })
  .demandCommand(1, 1)
  .strict()
  .parseAsync();

const name = String(args._[0]);
const experiment = experiments.find((one) => one.name === name);
if (!experiment) {
  const known = experiments.map((one) => one.name).join(', ');
  process.stderr.write(`unknown experiment ${name}; known: ${known}\n`);
  process.exit(2);
}
const tables: ResultTable[] = [];
for (let seed = args.seed; seed < args.seed + args.seeds; seed += 1) {
  const log = (line: string) => process.stderr.write(`seed ${seed}: ${line}\n`);
  const table = await experiment.run({ seed, log });
  tables.push(table);
  process.stdout.write(`seed ${seed}\n${toMarkdown(table.rows)}\n`);
}
const ratios = (experiment.comparisons ?? []).flatMap((one) => compareWithBest(tables, one));
if (ratios.length > 0) process.stdout.write(`ratios\n${toMarkdown(ratios)}\n`);
if (tables.length > 1) process.stdout.write(`median\n${toMarkdown(medianRows(tables))}\n`);
process.stdout.write(`${JSON.stringify(tables)}\n`);
if (args.save) {
  const { summary, comparisons = [] } = experiment;
  const command = `npm run bench -- ${name} --seed ${args.seed} --seeds ${args.seeds}`;
  await saveTables({ name, summary, command, tables, comparisons });
}
