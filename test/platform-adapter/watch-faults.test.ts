import { spawn } from 'node:child_process';
import test from 'ava';

interface ProcessEnd {
  readonly code: number | null;
  readonly output: string;
}

function runFaulty(fault: string): Promise<ProcessEnd> {
  const path = new URL('faulty-process.ts', import.meta.url).pathname;
  const child = spawn(process.execPath, ['--import=tsx', path, fault]);
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
  });
  return new Promise((resolve) => {
    child.on('close', (code) => {
      resolve({ code, output });
    });
  });
}

// Guards against: a rejection that nobody handled ended the process and every request in progress (LOST).
test('a rejection that nobody handles is logged with its cause, and the process goes on', async (t) => {
  const { code, output } = await runFaulty('rejection');
  t.is(code, 0);
  t.regex(output, /"event":"rejection-unhandled","reason":"nobody waits","stack":"Error/);
  t.true(output.includes('went on'));
});

test('an exception that nobody catches is logged with its cause, and ends the process', async (t) => {
  const { code, output } = await runFaulty('exception');
  t.not(code, 0);
  t.regex(output, /"event":"exception-uncaught","reason":"nobody catches","stack":"Error/);
  t.false(output.includes('went on'));
});
