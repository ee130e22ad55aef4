import test from 'ava';
import { subset } from '@ragwortrudder/routing';

const NODES = Array.from({ length: 330 }, (_, i) => `node-${i}`);
const RUNNERS = Array.from({ length: 2700 }, (_, i) => `runner-${i}`);
const SIZE = 32;

function coverageOf(nodes?: readonly string[]) {
  const counts = new Map(RUNNERS.map((id) => [id, 0]));
  const sizes: number[] = [];
  for (const nodeId of NODES) {
    const kept = subset({ nodeId, runners: RUNNERS, size: SIZE, ...(nodes ? { nodes } : {}) });
    sizes.push(kept.length);
    for (const id of kept) counts.set(id, (counts.get(id) ?? 0) + 1);
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

test('at 330 nodes and 2,700 runners each polls few and each runner is covered', (t) => {
  const known = coverageOf(NODES);
  const chance = coverageOf();
  t.log({ known, chance });
  t.true(known.leastNodes >= 3);
  t.true(known.largest <= 2 * SIZE);
  t.is(known.smallest, SIZE);
});

test('a runner that goes changes one place, a node that goes changes few', (t) => {
  const nodeId = 'node-7';
  const before = subset({ nodeId, runners: RUNNERS, size: SIZE, nodes: NODES });
  const gone = before[0] ?? '';
  const without = RUNNERS.filter((id) => id !== gone);
  const after = subset({ nodeId, runners: without, size: SIZE, nodes: NODES });
  t.is(before.filter((id) => !after.includes(id)).length, 1);
  const fewer = NODES.filter((id) => id !== 'node-9');
  const later = subset({ nodeId, runners: RUNNERS, size: SIZE, nodes: fewer });
  t.true(before.filter((id) => !later.includes(id)).length <= 2);
});

test('a small service is kept whole', (t) => {
  const runners = ['b', 'a', 'c'];
  t.deepEqual(subset({ nodeId: 'n', runners, size: SIZE, nodes: NODES }), ['a', 'b', 'c']);
});
