/**
 * Runs the proofs of the promises on deployments of separate processes. Exits with a non-zero code on
 * any violation.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { proofs } from '../node/proofs.ts';
import { runProof } from '../node/run-proof.ts';
import type { ProofResult } from '../types/proof-result.ts';

const DEFAULT_SEED = 1;
const SHOWN_VIOLATIONS = 5;
const FOLDER = '.histories';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printResult(result: ProofResult): void {
  const { promise, name, seed, operations, faults, words, violations } = result;
  const answered = Object.entries(words).map(([word, times]) => `${word} ${times}`);
  print(
    `promise ${promise} ${name.padEnd(22)} seed ${seed}: ${operations} operations (${answered.join(', ')}), ` +
      `${faults} faults, ${violations.length} violations`,
  );
  for (const violation of violations.slice(0, SHOWN_VIOLATIONS)) {
    print(`  ${violation.promise}: ${violation.message}`);
  }
}

const args = await yargs(hideBin(process.argv))
  .option('promise', { type: 'number', describe: 'number of the promise; all when left out' })
  .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'first seed' })
  .option('runs', {
    type: 'number',
    default: 1,
    describe: 'runs of each proof, with consecutive seeds',
  })
  .strict()
  .parseAsync();

const selected = proofs.filter(
  ({ promise }) => args.promise === undefined || promise === args.promise,
);
let violations = 0;
for (const proof of selected) {
  for (let run = 0; run < args.runs; run += 1) {
    const result = await runProof({ proof, seed: args.seed + run, folder: FOLDER });
    printResult(result);
    violations += result.violations.length;
  }
}
print(`${selected.length * args.runs} histories, ${violations} violations`);
process.exitCode = violations === 0 && selected.length > 0 ? 0 : 1;
