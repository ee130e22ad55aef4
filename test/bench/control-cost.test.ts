import { fileURLToPath } from 'node:url';
import test from 'ava';
import { ChildProcess, Fleet } from '@ragwortrudder/standins';
import { controlCostCases } from '../../packages/bench/src/experiments/control-cost-cases.ts';
import { ControlCostReader } from '../../packages/bench/src/experiments/control-cost-reader.ts';

const PROGRAM = new URL('../../packages/bench/src/cli/control-cost-node.ts', import.meta.url);

test('each case configures the number of nodes, runners and tenants that it declares', (t) => {
  const cases = Object.values(controlCostCases(1)).flat();
  t.true(cases.length > 0);
  for (const { name, nodes, runners, tenants, options } of cases) {
    const { layout } = new Fleet(options);
    t.is(layout.entries.length, nodes, name);
    t.is(layout.runners.length, runners, name);
    t.is(layout.tenants.length, tenants, name);
  }
});

test('a process writes a new cost snapshot on each request', async (t) => {
  const reader = await ControlCostReader.open();
  const child = new ChildProcess({
    name: 'idle',
    command: process.execPath,
    args: ['--import=tsx', fileURLToPath(PROGRAM), 'version'],
  });
  try {
    await child.firstLine(30_000);
    const pid = child.pid ?? 0;
    const first = await reader.read(pid);
    const second = await reader.read(pid);
    t.is(second.taken, first.taken + 1);
    t.true(second.cpuBefore >= first.cpuAfter);
    t.true(second.heap > 0);
    t.deepEqual(second.counts, {});
  } finally {
    await child.close();
    await reader.close();
  }
});
