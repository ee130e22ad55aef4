/** Runs formatter, linter, type checker and tests, and prints `N passed, N failed` as its last line. */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';

interface Step {
  readonly name: string;
  readonly args: readonly string[];
}

const STEPS: readonly Step[] = [
  { name: 'format', args: ['prettier', '--check', '--log-level', 'warn', '.'] },
  { name: 'lint', args: ['eslint', '.'] },
  { name: 'types', args: ['tsc', '--noEmit'] },
];
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const MAX_OUTPUT_BYTES = 256 * 1024 * 1024;

function readKnownFailures(): readonly string[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return readFileSync(KNOWN_FAILURES_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function runStep(step: Step): boolean {
  process.stdout.write(`# ${step.name}\n`);
  return spawnSync('npx', step.args, { stdio: 'inherit' }).status === 0;
}

const failedSteps = STEPS.filter((step) => !runStep(step)).length;
process.stdout.write('# tests\n');
const tests = spawnSync('npx', ['ava', '--tap'], {
  encoding: 'utf8',
  maxBuffer: MAX_OUTPUT_BYTES,
  stdio: ['ignore', 'pipe', 'inherit'],
});
process.stdout.write(tests.stdout);
const knownFailures = readKnownFailures();
const results = tests.stdout.split('\n').filter((line) => /^(not )?ok \d+/.test(line));
const failedTests = results.filter((line) => line.startsWith('not ok'));
const knownFailedTests = failedTests.filter((line) =>
  knownFailures.some((name) => line.endsWith(name)),
);
for (const line of knownFailedTests) process.stdout.write(`known red: ${line}\n`);
const newFailures = failedTests.length - knownFailedTests.length;
const crashed = tests.status !== 0 && failedTests.length === 0 ? 1 : 0;
const failed = newFailures + failedSteps + crashed;
const passed = results.length - failedTests.length + STEPS.length - failedSteps;
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
