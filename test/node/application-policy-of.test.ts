import test from 'ava';
import { applicationPolicyOf } from '../../packages/node/src/utils/application-policy-of.ts';

test('application runners are chosen by two-choices unless a baseline policy is configured', (t) => {
  t.is(applicationPolicyOf('estimate'), 'two-choices');
  t.is(applicationPolicyOf('prefix-hash'), 'two-choices');
  t.is(applicationPolicyOf('round-robin'), 'round-robin');
  t.is(applicationPolicyOf('least-loaded'), 'least-loaded');
});
