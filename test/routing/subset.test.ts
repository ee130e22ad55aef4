import test from 'ava';
import { selectSubset } from '@ragwortrudder/routing';

const NODES = Array.from({ length: 330 }, (_, i) => `node-${i}`);
const RUNNERS = Array.from({ length: 2700 }, (_, i) => `runner-${i}`);
const SIZE = 32;

function coverageOf(nodes?: readonly string[]) {
  const counts = new Map(RUNNERS.map((id) => [id, 0]));
  const sizes: number[] = [];
  for (const nodeId of NODES) {
    const subsetIds = selectSubset({
      nodeId,
      runners: RUNNERS,
      size: SIZE,
      ...(nodes ? { nodes } : {}),
    });
    sizes.push(subsetIds.length);
    for (const id of subsetIds) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const covered = [...counts.values()];
  return {
    leastNodes: Math.min(...covered),
    mostNodes: Math.max(...covered),
    uncovered: covered.filter((count) => count === 0).length,
    smallest: Math.min(...sizes),
    largest: Math.max(...sizes),
  };
}

test('with 330 nodes and 2,700 runners each node polls a small subset and every runner is covered', (t) => {
  const known = coverageOf(NODES);
  const chance = coverageOf();
  t.log({ known, chance });
  t.true(known.leastNodes >= 3);
  t.true(known.largest <= 2 * SIZE);
  t.is(known.smallest, SIZE);
});

test('removing a runner changes one subset entry, removing a node changes few', (t) => {
  const nodeId = 'node-7';
  const before = selectSubset({ nodeId, runners: RUNNERS, size: SIZE, nodes: NODES });
  const removed = before[0] ?? '';
  const remainingRunners = RUNNERS.filter((id) => id !== removed);
  const after = selectSubset({ nodeId, runners: remainingRunners, size: SIZE, nodes: NODES });
  t.is(before.filter((id) => !after.includes(id)).length, 1);
  const remainingNodes = NODES.filter((id) => id !== 'node-9');
  const afterNodeRemoval = selectSubset({
    nodeId,
    runners: RUNNERS,
    size: SIZE,
    nodes: remainingNodes,
  });
  t.true(before.filter((id) => !afterNodeRemoval.includes(id)).length <= 2);
});

test('the subset of a small service contains all its runners', (t) => {
  const runners = ['b', 'a', 'c'];
  t.deepEqual(selectSubset({ nodeId: 'n', runners, size: SIZE, nodes: NODES }), ['a', 'b', 'c']);
});
