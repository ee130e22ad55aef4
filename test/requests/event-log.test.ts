import test from 'ava';
import fc from 'fast-check';
import {
  EventIdInvalid,
  EventLog,
  ResumeDiverged,
  formatEventId,
  formatRequestId,
  nextEpoch,
  parseEventId,
  parseRequestId,
} from '@ragwortrudder/requests';

const token = (index: number) => ({ type: 'token', index, text: `t${index}` }) as const;

test('events are invisible until they are committed', (t) => {
  const log = new EventLog('r', 1);
  let notifications = 0;
  const unsubscribe = log.subscribe(() => {
    notifications += 1;
  });
  log.add({ type: 'accepted', id: 'r' });
  log.add(token(0));
  t.deepEqual(log.eventsAfter({ epoch: 0, number: 0 }), []);
  log.commit(1);
  t.deepEqual(
    log.eventsAfter({ epoch: 0, number: 0 }).map(({ number }) => number),
    [1],
  );
  log.commit(1);
  t.is(notifications, 1);
  unsubscribe();
  log.add({ type: 'done', tokens: 1 });
  t.true(log.closed);
  t.false(log.finished);
  log.commit(3);
  t.true(log.finished);
  t.is(notifications, 1);
});

test('property: a reader resumes exactly after any position', (t) => {
  fc.assert(
    fc.property(fc.nat({ max: 30 }), fc.nat({ max: 30 }), (count, seen) => {
      const log = new EventLog('r', 1);
      for (let index = 0; index < count; index += 1) log.add(token(index));
      log.commit(count);
      const from = Math.min(seen, count);
      const rest = log.eventsAfter({ epoch: 1, number: from });
      return (
        rest.length === count - from &&
        rest.every(({ number }, offset) => number === from + offset + 1)
      );
    }),
    { seed: 1, numRuns: 200 },
  );
  t.pass();
});

test('a reader that received events missing from the log of the new owner cannot resume', (t) => {
  const first = nextEpoch(0, 'a');
  const log = new EventLog('r', first);
  log.add(token(0));
  log.add(token(1));
  log.commit(2);
  const successor = new EventLog('r', nextEpoch(first, 'b'), log.events.slice(0, 1));
  successor.add(token(1));
  successor.commit(2);
  t.is(successor.eventsAfter({ epoch: first, number: 1 }).length, 1);
  t.throws(() => successor.eventsAfter({ epoch: first, number: 2 }), {
    instanceOf: ResumeDiverged,
  });
  t.throws(() => successor.eventsAfter({ epoch: first, number: 9 }), {
    instanceOf: ResumeDiverged,
  });
});

test('two successors of one owner use different epochs', (t) => {
  const epoch = nextEpoch(0, 'a');
  t.not(nextEpoch(epoch, 'b'), nextEpoch(epoch, 'c'));
  t.true(nextEpoch(epoch, 'b') > epoch);
  t.true(nextEpoch(nextEpoch(epoch, 'b'), 'a') > nextEpoch(epoch, 'c'));
});

test('ids survive formatting and parsing, and malformed ids are rejected', (t) => {
  const name = { owner: 'entry-1', incarnation: 12, holder: undefined, serial: 'x_Y-9' };
  t.deepEqual(parseRequestId(formatRequestId(name)), name);
  t.is(parseRequestId('r1.a.b.c.d'), undefined);
  t.is(parseRequestId(`r1.a.1.-.${'x'.repeat(65)}`), undefined);
  t.deepEqual(parseEventId(formatEventId({ epoch: 3, number: 4 })), { epoch: 3, number: 4 });
  t.throws(() => parseEventId('3'), { instanceOf: EventIdInvalid });
  t.throws(() => parseEventId('-1-2'), { instanceOf: EventIdInvalid });
});
