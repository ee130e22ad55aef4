import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { createTermStore } from './create-term-store.ts';

const REPORT = { window: 7, counts: { a: 3 } };

test('each take-over gets a higher fencing token and ends the previous term', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createTermStore({ log, node: 'n1' });
  const second = createTermStore({ log, node: 'n2' });
  t.deepEqual(await first.takeOver(), { isTaken: true, previousHolder: undefined });
  t.true(await first.record('usage-7', REPORT));
  t.deepEqual(await second.takeOver(), { isTaken: true, previousHolder: 'n1' });
  t.true((second.term?.fencingToken ?? 0) > (first.term?.fencingToken ?? 0));
  t.false(await first.record('usage-8', REPORT));
  t.is(first.term, undefined);
  t.deepEqual(second.records.get('usage-7'), REPORT);
});

test('when several nodes take over concurrently, only one acquires the term', async (t) => {
  const log = new MemoryKeyedLog();
  const stores = ['n1', 'n2', 'n3'].map((node) => createTermStore({ log, node }));
  const results = await Promise.all(stores.map((store) => store.takeOver()));
  t.is(results.filter(({ isTaken }) => isTaken).length, 1);
});

test('a lost append reply does not end the term, and the record that was written is read back', async (t) => {
  const log = new MemoryKeyedLog();
  const store = createTermStore({ log, node: 'n1' });
  await store.takeOver();
  log.loseReplies(1);
  await t.throwsAsync(store.record('usage-7', REPORT));
  t.true(await store.record('usage-8', { window: 8, counts: {} }));
  t.deepEqual(store.records.get('usage-7'), REPORT);
});

test('after a lost reply, a newer term is detected before the next action', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createTermStore({ log, node: 'n1' });
  const second = createTermStore({ log, node: 'n2' });
  await first.takeOver();
  log.loseReplies(1);
  await t.throwsAsync(first.record('usage-7', REPORT));
  await second.takeOver();
  t.false(await first.record('usage-8', REPORT));
});

test('while the log is unavailable nothing is recorded, so no action is performed', async (t) => {
  const log = new MemoryKeyedLog();
  const store = createTermStore({ log, node: 'n1' });
  await store.takeOver();
  log.setDown(true);
  await t.throwsAsync(store.record('usage-7', REPORT));
  log.setDown(false);
  t.true(await store.record('usage-7', REPORT));
});

test('a restarted node reads who held the newest term', async (t) => {
  const log = new MemoryKeyedLog();
  await createTermStore({ log, node: 'n1' }).takeOver();
  t.is((await createTermStore({ log, node: 'n2' }).observe()).holder, 'n1');
  t.is(
    (await createTermStore({ log: new MemoryKeyedLog(), node: 'n2' }).observe()).holder,
    undefined,
  );
});

// Guards against duties that go back with the log (CONFIG).
test('pattern: store restored; the holder writes its records again and keeps its term', async (t) => {
  const log = new MemoryKeyedLog();
  const copy = log.copy();
  const store = createTermStore({ log, node: 'n1' });
  await store.takeOver();
  await store.record('usage-7', REPORT);
  log.restore(copy);
  t.true(await store.confirm());
  const reader = createTermStore({ log, node: 'n2' });
  t.is((await reader.observe()).holder, 'n1');
  t.deepEqual(reader.records.get('usage-7'), REPORT);
});

// Guards against duties that go back with the log (CONFIG).
test('pattern: store restored; a term that another node took since then is the newest', async (t) => {
  const log = new MemoryKeyedLog();
  const copy = log.copy();
  const first = createTermStore({ log, node: 'n1' });
  await first.takeOver();
  for (let index = 0; index < 5; index += 1) await first.record('usage-7', REPORT);
  const token = first.term?.fencingToken ?? 0;
  log.restore(copy);
  const second = createTermStore({ log, node: 'n2' });
  await second.takeOver();
  t.true((second.term?.fencingToken ?? 0) > token);
  t.false(await first.record('usage-8', REPORT));
  t.is(first.term, undefined);
});

// Guards against duties that go back with the log (CONFIG).
test('pattern: store restored; an append at an offset of the earlier era is not taken for a record', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createTermStore({ log, node: 'n1' });
  await first.takeOver();
  const copy = log.copy();
  await first.record('usage-7', REPORT);
  log.restore(copy);
  const second = createTermStore({ log, node: 'n2' });
  await second.takeOver();
  t.false(await first.record('usage-8', REPORT));
  t.is(second.records.get('usage-8'), undefined);
});

// Guards against reporting usage again that a restored log shows as not reported (CONFIG).
test('pattern: store restored; a successor knows whether the records of its predecessor may be missing', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createTermStore({ log, node: 'n1' });
  const successor = createTermStore({ log, node: 'n2' });
  await first.takeOver();
  t.false(first.mayLackRecords);
  const copy = log.copy();
  await first.record('usage-7', REPORT);
  log.restore(copy);
  await successor.takeOver();
  t.true(successor.mayLackRecords);
  log.restore(copy);
  t.true(await first.confirm());
  await successor.takeOver();
  t.false(successor.mayLackRecords);
  t.deepEqual(successor.records.get('usage-7'), REPORT);
});

// Guards against a holder that goes on although its successor's term was lost (ONE).
test('pattern: store restored; a holder that has proved nothing for a lease gives up its term', async (t) => {
  const clock = new ManualClock();
  const log = new MemoryKeyedLog();
  const store = createTermStore({ log, node: 'n1', clock, leaseMs: 3_000 });
  await store.takeOver();
  const copy = log.copy();
  clock.advance(2_900);
  log.restore(copy);
  t.true(await store.confirm());
  clock.advance(3_000);
  log.restore(copy);
  t.false(await store.confirm());
  t.is(store.term, undefined);
});

// Guards against records that are taken for complete while a holder still writes them again (ONE).
test('pattern: store restored; a holder that dies while it writes its records again leaves them in doubt', async (t) => {
  const log = new MemoryKeyedLog();
  const first = createTermStore({ log, node: 'n1' });
  await first.takeOver();
  const copy = log.copy();
  await first.record('usage-7', REPORT);
  log.restore(copy);
  log.loseReplies(1);
  await t.throwsAsync(first.confirm());
  const successor = createTermStore({ log, node: 'n2' });
  await successor.takeOver();
  t.true(successor.mayLackRecords);
});
