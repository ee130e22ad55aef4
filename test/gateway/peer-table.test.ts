import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import type { Peer } from '../../packages/gateway/src/types/peer.ts';
import { PeerTable } from '../../packages/gateway/src/utils/peer-table.ts';

function contactAt(at: number, change: Partial<Peer> = {}): Omit<Peer, 'addedAt' | 'isSilent'> {
  return {
    address: { host: '10.0.0.2', port: 7500 },
    failureDomain: 'a',
    incarnation: 1,
    sequence: 1,
    lastReceivedAt: at,
    lastReportAt: at,
    readsLocalDigests: true,
    readsCompressed: true,
    dutyToken: 0,
    ...change,
  };
}

// Guards against lists of reachable peers that outlive them, since they are kept between two changes.
test('a peer is listed while it is heard, and no longer than its time-out', (t) => {
  const clock = new ManualClock();
  const table = new PeerTable({ node: 'n1', failureDomain: 'a', clock, onChange: () => undefined });
  const { peerTimeoutMs } = table.timing;
  table.record('n2', contactAt(clock.monotonic()));
  table.record('n3', contactAt(clock.monotonic()));
  clock.advance(peerTimeoutMs / 2);
  table.record('n2', contactAt(clock.monotonic()));
  t.deepEqual(table.view.ids, ['n2', 'n3']);
  clock.advance(peerTimeoutMs / 2 - 1);
  t.deepEqual(table.view.ids, ['n2', 'n3']);
  clock.advance(1);
  t.deepEqual(table.view.ids, ['n2']);
  t.deepEqual(table.view.domainIds, ['n2']);
  clock.advance(peerTimeoutMs / 2);
  t.deepEqual(table.view.ids, []);
  table.record('n3', contactAt(clock.monotonic()));
  t.deepEqual(table.view.ids, ['n3']);
});

test('listed peers are as they were last heard', (t) => {
  const clock = new ManualClock();
  const table = new PeerTable({ node: 'n1', failureDomain: 'a', clock, onChange: () => undefined });
  table.record('n2', contactAt(clock.monotonic()));
  t.is(table.inDomain[0]?.[1].dutyToken, 0);
  table.record('n2', contactAt(clock.monotonic(), { dutyToken: 7 }));
  t.is(table.inDomain[0]?.[1].dutyToken, 7);
  const address = { host: '10.0.0.9', port: 7500 };
  table.record('n2', contactAt(clock.monotonic(), { address }));
  t.deepEqual(table.view.all[0]?.address, address);
  table.record('n2', contactAt(clock.monotonic(), { failureDomain: 'b' }));
  t.deepEqual(table.view.domainIds, []);
  table.delete('n2');
  t.deepEqual(table.view.ids, []);
});

// Guards against a record for each member of each digest, most of which have not changed (SHORT).
test('a peer that is heard again as it was stays listed; one that has changed is recorded', (t) => {
  const clock = new ManualClock();
  const table = new PeerTable({ node: 'n1', failureDomain: 'a', clock, onChange: () => undefined });
  const { peerTimeoutMs } = table.timing;
  const member = { host: '10.0.0.2', port: 7500, failureDomain: 'a', dutyToken: 0 };
  const hear = (change: Partial<typeof member> = {}, ageMs = 0): boolean => {
    const now = clock.monotonic();
    return table.refresh('n2', { ...member, ...change, heardAt: now - ageMs, now });
  };
  t.false(hear());
  table.record('n2', contactAt(clock.monotonic()));
  clock.advance(peerTimeoutMs - 1);
  t.true(hear());
  clock.advance(peerTimeoutMs - 1);
  t.deepEqual(table.view.ids, ['n2']);
  t.deepEqual(table.expireSilent(), []);
  t.true(hear({}, peerTimeoutMs));
  t.is(table.lastHeardAt('n2'), clock.monotonic() - peerTimeoutMs + 1);
  t.false(hear({ host: '10.0.0.9' }));
  t.false(hear({ port: 7501 }));
  t.false(hear({ failureDomain: 'b' }));
  t.false(hear({ dutyToken: 7 }));
  clock.advance(1);
  t.deepEqual(table.view.ids, []);
  t.false(hear());
  table.record('n2', contactAt(clock.monotonic()));
  t.deepEqual(table.view.ids, ['n2']);
  t.is(table.lastHeardAt('n2'), clock.monotonic());
});
