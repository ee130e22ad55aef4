import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import type { Member } from '@ragwortrudder/membership';
import { EventLog, ReplicaRegistry, nextEpoch } from '@ragwortrudder/requests';
import type { AcceptedRequest, ReplicaUpdate, ReplicaVerdict } from '@ragwortrudder/requests';
import { Metrics } from '../../packages/node/src/node/metrics/metrics.ts';
import { Replication } from '../../packages/node/src/node/requests/replication.ts';

const SELF = { nodeId: 'a', number: 1 };

const REQUEST: AcceptedRequest = {
  id: 'r1.a.1.b.x',
  tenant: 'novak',
  service: 'quotes',
  class: 'batch',
  deadline: 1000,
  acceptedAt: 0,
  idempotent: true,
  input: { kind: 'model', prompt: 'p', maxTokens: 3 },
};

function memberOf(nodeId: string): Member {
  return {
    nodeId,
    incarnation: 1,
    failureDomain: nodeId,
    region: 'r',
    peerAddress: nodeId,
    callerAddress: nodeId,
    state: 'alive',
    refutation: 0,
  };
}

/** Two replica holders that can be made unresponsive or promote their replica. */
class ReplicaHolders {
  readonly tables = new Map(['b', 'c'].map((nodeId) => [nodeId, new ReplicaRegistry()]));
  readonly silent = new Set<string>();
  superseded = 0;
  readonly events = new EventLog(REQUEST.id, nextEpoch(0, 'a'));
  readonly replication = new Replication({
    request: REQUEST,
    events: this.events,
    self: SELF,
    links: { send: (address, update) => this.#send(address, update) },
    metrics: new Metrics(),
    clock: new ManualClock(),
    chooseHolder: (excluded) =>
      ['b', 'c'].filter((nodeId) => !excluded.has(nodeId)).map(memberOf)[0],
    onSuperseded: () => {
      this.superseded += 1;
    },
  });

  table(nodeId: string): ReplicaRegistry {
    return this.tables.get(nodeId) ?? new ReplicaRegistry();
  }

  async #send(address: string, update: ReplicaUpdate): Promise<ReplicaVerdict> {
    await Promise.resolve();
    if (this.silent.has(address)) throw new RangeError('silent');
    return this.table(address).apply(update, 0);
  }
}

test('an event is committed only after a holder has stored it', async (t) => {
  const holders = new ReplicaHolders();
  const { events, replication } = holders;
  events.add({ type: 'accepted', id: REQUEST.id });
  const flushed = replication.flush();
  t.is(events.committed, 0);
  await flushed;
  t.is(events.committed, 1);
  t.is(holders.table('b').get(REQUEST.id)?.events.length, 1);
});

test('when a holder stops responding another one replaces it under a later epoch', async (t) => {
  const holders = new ReplicaHolders();
  const { events, replication } = holders;
  events.add({ type: 'accepted', id: REQUEST.id });
  await replication.flush();
  const { epoch } = events;
  holders.silent.add('b');
  events.add({ type: 'token', index: 0, text: 'x' });
  await replication.flush();
  t.is(replication.holder?.nodeId, 'c');
  t.true(events.epoch > epoch);
  t.is(holders.table('c').get(REQUEST.id)?.events.length, 2);
  t.is(events.committed, 2);
});

test('without any holder events are committed without a replica', async (t) => {
  const holders = new ReplicaHolders();
  holders.silent.add('b').add('c');
  holders.events.add({ type: 'accepted', id: REQUEST.id });
  await holders.replication.flush();
  t.is(holders.events.committed, 1);
  t.is(holders.replication.holder, undefined);
});

test('an owner that was superseded commits no further event', async (t) => {
  const holders = new ReplicaHolders();
  const { events, replication } = holders;
  events.add({ type: 'accepted', id: REQUEST.id });
  await replication.flush();
  holders.table('b').promote(REQUEST.id, { nodeId: 'b', number: 1 });
  events.add({ type: 'token', index: 0, text: 'x' });
  await t.throwsAsync(replication.flush(), { name: 'Superseded' });
  t.is(events.committed, 1);
  t.is(holders.superseded, 1);
});

test('a holder that lost the replica receives a complete copy', async (t) => {
  const holders = new ReplicaHolders();
  const { events, replication } = holders;
  events.add({ type: 'accepted', id: REQUEST.id });
  await replication.flush();
  holders.tables.set('b', new ReplicaRegistry());
  events.add({ type: 'token', index: 0, text: 'x' });
  await replication.flush();
  t.is(holders.table('b').get(REQUEST.id)?.events.length, 2);
});
