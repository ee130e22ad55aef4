import test from 'ava';
import { rollingStops } from '@ragwortrudder/soak';

// Guards against rolling stops of many nodes that go on when all must be served again.
test('a rolling stop of any number of nodes ends in its time, with at least three nodes', (t) => {
  for (const nodes of [1, 2, 3, 24, 100]) {
    for (const forMs of [0, 500, 2_400, 5_000]) {
      const stops = rollingStops({ nodes, first: nodes - 1, forMs });
      const text = `${nodes} nodes, ${forMs} ms`;
      t.true(stops.length >= Math.min(nodes, 3), text);
      t.true(
        stops.every(({ atMs }) => atMs >= 0 && atMs <= forMs),
        text,
      );
      t.is(new Set(stops.map(({ node }) => node)).size, stops.length, text);
    }
  }
});

test('three nodes stop 1.2 s after one another if there is time', (t) => {
  const stops = rollingStops({ nodes: 3, first: 1, forMs: 5_000 });
  t.deepEqual(stops, [
    { node: 1, atMs: 0 },
    { node: 2, atMs: 1_200 },
    { node: 0, atMs: 2_400 },
  ]);
});
