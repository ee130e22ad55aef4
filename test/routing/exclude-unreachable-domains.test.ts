import test from 'ava';
import { excludeUnreachableDomains } from '@ragwortrudder/routing';

const RUNNERS = ['a1', 'a2', 'b1', 'b2', 'b3', 'c1', 'c2'].map((id) => ({
  id,
  failureDomain: id.slice(0, 1),
}));

function remainingIds(unreachable: readonly string[]): readonly string[] {
  return excludeUnreachableDomains(RUNNERS, ({ id }) => unreachable.includes(id)).map(
    ({ id }) => id,
  );
}

test('a single unreachable runner is excluded without the rest of its failure domain', (t) => {
  t.deepEqual(remainingIds(['b1']), ['a1', 'a2', 'b2', 'b3', 'c1', 'c2']);
});

test('pattern: failure domain cut off; after two unreachable runners its other runners are excluded', (t) => {
  t.deepEqual(remainingIds(['b1', 'b2']), ['a1', 'a2', 'c1', 'c2']);
  t.deepEqual(remainingIds(['b1', 'b2', 'c1', 'c2']), ['a1', 'a2']);
});

test('when every failure domain appears cut off, runners not known to be unreachable remain', (t) => {
  t.deepEqual(remainingIds(['a1', 'a2', 'b1', 'b2', 'c1', 'c2']), ['b3']);
  t.deepEqual(remainingIds(RUNNERS.map(({ id }) => id)), []);
});
