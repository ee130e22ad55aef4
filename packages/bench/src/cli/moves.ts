/** Runs one of the experiments on moves, reclaims and silent connections. */
import { reclaims } from '../experiments/reclaims.ts';
import { silent } from '../experiments/silent.ts';
import { versionMoves } from '../experiments/version-moves.ts';
import { toMarkdown } from '../utils/to-markdown.ts';

const [, , name = '', seed = '1'] = process.argv;
const experiment =
  [versionMoves, reclaims, silent].find((one) => one.name === name) ?? versionMoves;
const table = await experiment.run({
  seed: Number(seed),
  log: (line) => process.stderr.write(`${line}\n`),
});
process.stdout.write(`${toMarkdown(table.rows)}\n${JSON.stringify(table)}\n`);
