import test from 'ava';
import { trialRank } from '../../packages/gateway/src/utils/trial-rank.ts';

const NODE = {
  id: 'n1',
  upMs: 2_000,
  isStopping: false,
  reachableIds: ['n2', 'n3'],
  knownCount: 3,
};

// Guards against sound requests that stay quarantined since all nodes have just started (seed 13931 of the soak).
test('a node that has just started tries a part again if it hears all known nodes', (t) => {
  t.not(trialRank('p', NODE), undefined);
  const ranks = ['n1', 'n2', 'n3'].map((id) =>
    trialRank('p', { ...NODE, id, reachableIds: ['n1', 'n2', 'n3'].filter((peer) => peer !== id) }),
  );
  t.deepEqual(ranks.toSorted(), [0, 1, 2]);
});

test('a node that may not know what others try does not try', (t) => {
  t.is(trialRank('p', { ...NODE, upMs: 1_000 }), undefined);
  t.is(trialRank('p', { ...NODE, knownCount: 4 }), undefined);
  t.is(trialRank('p', { ...NODE, knownCount: undefined }), undefined);
  t.is(trialRank('p', { ...NODE, upMs: 20_000, knownCount: 6 }), undefined);
  t.is(trialRank('p', { ...NODE, upMs: 20_000, isStopping: true }), undefined);
  t.not(trialRank('p', { ...NODE, upMs: 10_000, knownCount: 4 }), undefined);
});
