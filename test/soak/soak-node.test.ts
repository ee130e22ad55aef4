import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { SoakNode } from '@ragwortrudder/soak';

const CHECKOUT = fileURLToPath(new URL('../..', import.meta.url));
const POLL_MS = 20;
const STARTED = 'program has started';

/** Starts a node whose program only waits. */
async function startNode(ownEnds: string[]) {
  const folder = mkdtempSync(join(tmpdir(), 'soak-node-'));
  mkdirSync(join(folder, 'packages/cli/src/cli'), { recursive: true });
  symlinkSync(join(CHECKOUT, 'node_modules'), join(folder, 'node_modules'));
  const program = `console.log('${STARTED}'); setInterval(() => 0, 1_000);`;
  writeFileSync(join(folder, 'packages/cli/src/cli/main.ts'), program);
  const node = new SoakNode({
    ...{ id: 'n0', folder, settings: {}, routes: {}, production: folder },
    onOwnEnd: (how) => ownEnds.push(how),
    onNotStarted: (error) => ownEnds.push(error.message),
  });
  node.start();
  const log = join(folder, 'n0.log');
  const untilStarted = async (times: number): Promise<void> => {
    const starts = (): number =>
      existsSync(log) ? readFileSync(log, 'utf8').split(STARTED).length - 1 : 0;
    while (starts() < times) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  };
  await untilStarted(1);
  return { node, untilStarted };
}

// Guards against the report that a process ended by itself when a second signal came too late for it.
test('a process that gets several signals may end by each of them', async (t) => {
  for (const signals of [['SIGKILL', 'SIGTERM'], ['SIGTERM', 'SIGKILL'], ['SIGKILL']] as const) {
    const ownEnds: string[] = [];
    const { node, untilStarted } = await startNode(ownEnds);
    for (const signal of signals) node.signal(signal);
    await untilStarted(2);
    await node.close();
    t.deepEqual(ownEnds, [], signals.join(', '));
  }
});

// Guards against a process that ends by another signal than those that it got, unseen.
test('a process that ends by a signal which does not end nodes has ended by itself', async (t) => {
  const ownEnds: string[] = [];
  const { node } = await startNode(ownEnds);
  node.signal('SIGUSR2');
  while (ownEnds.length === 0) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  await node.close();
  t.deepEqual(ownEnds, ['exit code null, signal SIGUSR2']);
});
