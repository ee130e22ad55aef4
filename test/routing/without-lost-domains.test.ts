import test from 'ava';
import { withoutLostDomains } from '@ragwortrudder/routing';

const RUNNERS = ['a1', 'a2', 'b1', 'b2', 'b3', 'c1', 'c2'].map((id) => ({
  id,
  failureDomain: id.slice(0, 1),
}));

function left(unreachable: readonly string[]): readonly string[] {
  return withoutLostDomains(RUNNERS, ({ id }) => unreachable.includes(id)).map(({ id }) => id);
}

test('one unreachable runner is left out alone', (t) => {
  t.deepEqual(left(['b1']), ['a1', 'a2', 'b2', 'b3', 'c1', 'c2']);
});

test('pattern: failure domain cut off; after two failed connections the rest of it is not tried', (t) => {
  t.deepEqual(left(['b1', 'b2']), ['a1', 'a2', 'c1', 'c2']);
  t.deepEqual(left(['b1', 'b2', 'c1', 'c2']), ['a1', 'a2']);
});

test('when every domain seems lost, what is not known to be unreachable is tried', (t) => {
  t.deepEqual(left(['a1', 'a2', 'b1', 'b2', 'c1', 'c2']), ['b3']);
  t.deepEqual(left(RUNNERS.map(({ id }) => id)), []);
});
