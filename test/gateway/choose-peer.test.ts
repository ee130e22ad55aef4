import test from 'ava';
import { SeededRandom } from '@ragwortrudder/core';
import { choosePeer } from '../../packages/gateway/src/utils/choose-peer.ts';
import { DeferredEvidence } from '../../packages/gateway/src/utils/deferred-evidence.ts';
import { ManualClock } from '@ragwortrudder/core';

const NONE: ReadonlySet<string> = new Set();
const ENTRY = {
  id: 'r1',
  service: 's',
  address: { host: '127.0.0.1', port: 1 },
  failureDomain: 'a',
  version: 'v1',
  slots: 1,
  coldMs: 0,
  isSpot: false,
  isDraining: false,
  bornMs: 1,
} as const;

function peer(id: string, change: object = {}): Parameters<typeof choosePeer>[0]['peers'][number] {
  return { id, failureDomain: 'a', requests: 0, outOfReach: NONE, ...change };
}

const QUERY = {
  runners: ['r1 1', 'r2 1'],
  lost: new Set(['r1 1']),
  failureDomain: 'a',
  random: new SeededRandom(1),
} as const;

test('a request goes to the peer with the least to do that reaches a lost runner', (t) => {
  const peers = [
    peer('cut', { outOfReach: new Set(['r1 1']) }),
    peer('busy', { requests: 9 }),
    peer('idle', { requests: 2 }),
  ];
  t.is(choosePeer({ ...QUERY, peers })?.id, 'idle');
  t.is(choosePeer({ ...QUERY, peers: peers.slice(0, 1) }), undefined);
  t.is(choosePeer({ ...QUERY, peers, lost: NONE }), undefined);
});

test('a peer in the same failure domain is preferred unless it has more to do', (t) => {
  const far = peer('far', { failureDomain: 'b' });
  t.is(choosePeer({ ...QUERY, peers: [far, peer('near', { requests: 1 })] })?.id, 'near');
  t.is(choosePeer({ ...QUERY, peers: [far, peer('near', { requests: 9 })] })?.id, 'far');
});

test('evidence against a runner is dropped when the link to it turns out to be lost', (t) => {
  const clock = new ManualClock();
  let isOwnFault = false;
  const evidence = new DeferredEvidence({ clock, isOwnFault: () => isOwnFault });
  const recorded: string[] = [];
  evidence.add(ENTRY, () => recorded.push('first'));
  clock.advance(300);
  evidence.settle();
  t.deepEqual(recorded, []);
  clock.advance(400);
  evidence.settle();
  t.deepEqual(recorded, ['first']);
  evidence.add(ENTRY, () => recorded.push('second'));
  isOwnFault = true;
  clock.advance(700);
  evidence.settle();
  t.deepEqual(recorded, ['first']);
});
