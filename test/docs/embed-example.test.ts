import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import test from 'ava';

const PROGRAM = fileURLToPath(new URL('../../examples/embed/main.ts', import.meta.url));

test('the embedding example accepts one of two conflicting tickets and runs an order once', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, ['--import=tsx', PROGRAM]);
  const lines = stdout.trim().split('\n');
  const tickets = lines.filter((line) => line.startsWith('ticket ')).sort();
  t.is(tickets.filter((line) => line.endsWith(': accepted')).length, 1);
  t.is(tickets.filter((line) => /: refused, lost to ticket [23]$/.test(line)).length, 1);
  const versions = lines.filter((line) => line.startsWith('orders at'));
  t.is(new Set(versions.map((line) => line.split(': ')[1])).size, 1);
  t.is(lines.filter((line) => line.includes('"word":"completed"')).length, 2);
  t.true(lines.includes('{"kind":"refuse","reason":"key-reused","notRun":true}'));
  t.is(lines.at(-1), 'runs: 1');
});
