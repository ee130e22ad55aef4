import test from 'ava';
import { PeerIntroductions } from '../../packages/gateway/src/utils/peer-introductions.ts';
import { fingerprintOfIds } from '../../packages/gateway/src/utils/fingerprint-of-ids.ts';

const DIFFERENT = { peer: 1, own: 2 };

test('a peer that hears other nodes for a while is told of them, and again after a pause', (t) => {
  const introductions = new PeerIntroductions();
  t.false(introductions.isDue('p', DIFFERENT, 0));
  t.false(introductions.isDue('p', DIFFERENT, 1_900));
  t.true(introductions.isDue('p', DIFFERENT, 2_000));
  t.false(introductions.isDue('p', DIFFERENT, 2_200));
  t.true(introductions.isDue('p', DIFFERENT, 5_000));
});

test('a difference that has passed starts anew', (t) => {
  const introductions = new PeerIntroductions();
  introductions.isDue('p', DIFFERENT, 0);
  t.false(introductions.isDue('p', { peer: 2, own: 2 }, 1_500));
  t.false(introductions.isDue('p', DIFFERENT, 2_500));
  introductions.retain(new Set());
  t.false(introductions.isDue('p', DIFFERENT, 6_000));
});

test('the fingerprint of nodes does not depend on their order', (t) => {
  t.is(fingerprintOfIds(['a', 'b']), fingerprintOfIds(['b', 'a']));
  t.not(fingerprintOfIds(['a', 'b']), fingerprintOfIds(['a', 'c']));
  t.not(fingerprintOfIds(['ab']), fingerprintOfIds(['a', 'b']));
});
