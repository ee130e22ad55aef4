/** Runs the soak for consecutive seeds. Exits with a non-zero code if any run violated a promise. */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Soak } from '../node/soak.ts';
import type { SoakResult } from '../types/soak-result.ts';

const MS_PER_MINUTE = 60_000;
const SHOWN_VIOLATIONS = 5;
const FOLDER = '.soak';

function print(result: SoakResult): void {
  const { seed, faults, requests, statuses, violations, memoryGrowthMb, maxLagMs } = result;
  const counts = Object.entries(statuses).map(([status, count]) => `${status}: ${count}`);
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${requests} requests (${counts.join(', ')}), ${violations.length} violations\n`,
  );
  const growth = Object.entries(memoryGrowthMb).map(([node, megabytes]) => `${node} ${megabytes}`);
  process.stdout.write(`  MB more: ${growth.join(', ')}; own lag ${Math.round(maxLagMs)} ms\n`);
  for (const { promise, message } of violations.slice(0, SHOWN_VIOLATIONS)) {
    process.stdout.write(`  ${promise}: ${message}\n`);
  }
}

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'runs, with consecutive seeds' })
  .option('minutes', { type: 'number', default: 1, describe: 'traffic of each run' })
  .option('nodes', { type: 'number', default: 3, describe: 'nodes, each a process' })
  .option('callers', {
    type: 'number',
    default: 12,
    describe: 'callers, each with one request at a time',
  })
  .option('production', {
    type: 'string',
    describe: 'checkout of the version whose nodes are upgraded one after another',
  })
  .option('endless', {
    type: 'boolean',
    default: false,
    describe: 'draw bytes without end, slow bodies and series of changes, too',
  })
  .option('evacuate', {
    type: 'boolean',
    default: false,
    describe: 'evacuate a failure domain for a part of each run',
  })
  .option('plan', { type: 'boolean', default: false, describe: 'print the faults of each run' })
  .strict()
  .parseAsync();

/** Leaves a result of a run in its folder. */
function writeResult(folder: string, result: object): void {
  mkdirSync(folder, { recursive: true });
  writeFileSync(`${folder}/result.json`, JSON.stringify(result, null, 2));
}

let failedSeeds = 0;
let runs = 0;
for (let seed = args.seed; seed < args.seed + args.seeds; seed += 1) {
  const folder = `${FOLDER}/${seed}`;
  // It stays if this process is killed.
  const violations = [{ promise: 'unfinished-run', message: 'the run has not ended' }];
  writeResult(folder, { seed, violations });
  const result = await new Soak({
    seed,
    lengthMs: args.minutes * MS_PER_MINUTE,
    nodes: args.nodes,
    callers: args.callers,
    production: args.production,
    endless: args.endless,
    evacuates: args.evacuate,
    folder,
  }).run();
  runs += 1;
  print(result);
  if (args.plan) process.stdout.write(`${JSON.stringify(result.faults)}\n`);
  if (result.violations.length > 0) {
    failedSeeds += 1;
    writeResult(folder, result);
  } else rmSync(folder, { recursive: true, force: true });
  if (result.interruptedBy !== undefined) break;
}
process.stdout.write(`${runs} seeds, ${failedSeeds} with violations\n`);
// Parts of an unfinished run may still be open.
process.exit(failedSeeds === 0 ? 0 : 1);
