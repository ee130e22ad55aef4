import test from 'ava';
import fc from 'fast-check';
import { EventLog, ReplicaRegistry, nextEpoch } from '@ragwortrudder/requests';
import type { RequestCopy } from '@ragwortrudder/requests';

const ID = 'r1.a.1.b.x';
const A = { nodeId: 'a', number: 1 };
const B = { nodeId: 'b', number: 1 };

function createCopy(log: EventLog, owner = A): RequestCopy {
  return {
    request: {
      id: ID,
      tenant: 'novak',
      service: 'quotes',
      class: 'batch',
      deadline: 1000,
      acceptedAt: 0,
      idempotent: true,
      input: { kind: 'model', prompt: 'p', maxTokens: 3 },
    },
    owner,
    epoch: log.epoch,
    events: [...log.events],
  };
}

function createLog(count: number): EventLog {
  const log = new EventLog(ID, nextEpoch(0, 'a'));
  for (let index = 0; index < count; index += 1)
    log.add({ type: 'token', index, text: `${index}` });
  return log;
}

test('every update from a replaced owner is answered with superseded', (t) => {
  const table = new ReplicaRegistry();
  const log = createLog(2);
  t.is(table.apply({ kind: 'put', copy: createCopy(log) }, 0), 'ok');
  const promoted = table.promote(ID, B);
  t.true((promoted?.epoch ?? 0) > log.epoch);
  t.is(promoted?.events.length, 2);
  const event = log.add({ type: 'token', index: 2, text: '2' });
  t.is(table.apply({ kind: 'append', id: ID, epoch: log.epoch, events: [event] }, 0), 'superseded');
  t.is(table.apply({ kind: 'put', copy: createCopy(log) }, 0), 'superseded');
  t.is(table.apply({ kind: 'release', id: ID, epoch: log.epoch }, 0), 'superseded');
  t.is(table.promote(ID, B), undefined);
});

test('repeated appends are applied once, and a gap is answered with missing', (t) => {
  const table = new ReplicaRegistry();
  const log = createLog(4);
  table.apply({ kind: 'put', copy: { ...createCopy(log), events: log.events.slice(0, 1) } }, 0);
  const append = (from: number, to: number) =>
    table.apply(
      { kind: 'append', id: ID, epoch: log.epoch, events: log.events.slice(from, to) },
      0,
    );
  t.is(append(2, 4), 'missing');
  t.is(append(0, 3), 'ok');
  t.is(append(1, 4), 'ok');
  t.deepEqual(table.get(ID)?.events, log.events);
});

test('only finished replicas are removed after their retention period', (t) => {
  const table = new ReplicaRegistry();
  const log = createLog(1);
  table.apply({ kind: 'put', copy: createCopy(log) }, 0);
  t.is(table.sweep(1000, 10), 0);
  log.add({ type: 'done', tokens: 1 });
  table.apply({ kind: 'append', id: ID, epoch: log.epoch, events: log.events }, 1000);
  t.deepEqual(
    table.unfinishedOwnedBy(() => true),
    [],
  );
  t.is(table.sweep(1005, 10), 0);
  t.is(table.sweep(1011, 10), 1);
});

test('property: with late or duplicate appends, a replica stays a prefix of the log of its owner', (t) => {
  const updates = fc.array(fc.tuple(fc.nat({ max: 8 }), fc.nat({ max: 8 })), { maxLength: 30 });
  fc.assert(
    fc.property(updates, (ranges) => {
      const table = new ReplicaRegistry();
      const log = createLog(8);
      table.apply({ kind: 'put', copy: { ...createCopy(log), events: [] } }, 0);
      for (const [a, b] of ranges) {
        const events = log.events.slice(Math.min(a, b), Math.max(a, b));
        table.apply({ kind: 'append', id: ID, epoch: log.epoch, events }, 0);
      }
      const storedEvents = table.get(ID)?.events ?? [];
      return storedEvents.every((event, index) => event === log.events[index]);
    }),
    { seed: 2, numRuns: 300 },
  );
  t.pass();
});
