import { spawn } from 'node:child_process';
import type { CallsReport } from './calls-report.ts';

/** Runs a program that measures calls, in a process of its own, and returns its report. */
export async function runCalls(program: URL, args: readonly string[]): Promise<CallsReport> {
  const child = spawn(process.execPath, ['--import=tsx', program.pathname, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
  });
  await new Promise((resolve) => child.once('close', resolve));
  return JSON.parse(output) as CallsReport;
}
