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
async function startNode(
  ownEnds: string[],
  afterStart: (node: SoakNode) => Promise<void> = () => Promise.resolve(),
) {
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
  await afterStart(node);
  const log = join(folder, 'n0.log');
  const untilLogged = async (text: string, times: number): Promise<void> => {
    const count = (): number =>
      existsSync(log) ? readFileSync(log, 'utf8').split(text).length - 1 : 0;
    while (count() < times) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  };
  await untilLogged(STARTED, 1);
  return { node, untilLogged };
}

// Guards against the report that a process ended by itself when a second signal came too late for it.
test('a process that gets several signals may end by each of them', async (t) => {
  for (const signals of [['SIGKILL', 'SIGTERM'], ['SIGTERM', 'SIGKILL'], ['SIGKILL']] as const) {
    const ownEnds: string[] = [];
    const { node, untilLogged } = await startNode(ownEnds);
    for (const signal of signals) node.signal(signal);
    await untilLogged(STARTED, 2);
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

// Guards against SIGHUP that ends Node.js in its own boot, before the program can handle it.
test('a process whose settings are reloaded while it boots goes on', async (t) => {
  for (const delayMs of [0, 5, 10, 20, 40]) {
    const ownEnds: string[] = [];
    const { node } = await startNode(ownEnds, async (started) => {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      started.reload({ delayMs });
    });
    await node.close();
    t.deepEqual(ownEnds, [], `${delayMs} ms`);
  }
});
