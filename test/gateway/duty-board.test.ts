import test from 'ava';
import { MemoryKeyedLog } from '@ragwortrudder/log';
import { DutyBoard } from '../../packages/gateway/src/node/duty-board.ts';

const REPORT = { window: 7, counts: { a: 3 } };

test('each take-over has a higher fencing token, and ends the term before it', async (t) => {
  const log = new MemoryKeyedLog();
  const first = new DutyBoard({ log, node: 'n1' });
  const second = new DutyBoard({ log, node: 'n2' });
  t.deepEqual(await first.takeOver(), { isTaken: true, before: undefined });
  t.true(await first.record('usage-7', REPORT));
  t.deepEqual(await second.takeOver(), { isTaken: true, before: 'n1' });
  t.true((second.term?.fencingToken ?? 0) > (first.term?.fencingToken ?? 0));
  t.false(await first.record('usage-8', REPORT));
  t.is(first.term, undefined);
  t.deepEqual(second.records.get('usage-7'), REPORT);
});

test('two nodes that take over at once: one of them has the term', async (t) => {
  const log = new MemoryKeyedLog();
  const boards = ['n1', 'n2', 'n3'].map((node) => new DutyBoard({ log, node }));
  const taken = await Promise.all(boards.map((board) => board.takeOver()));
  t.is(taken.filter(({ isTaken }) => isTaken).length, 1);
});

test('an append whose reply was lost does not end the term, and what was recorded is known', async (t) => {
  const log = new MemoryKeyedLog();
  const board = new DutyBoard({ log, node: 'n1' });
  await board.takeOver();
  log.loseReplies(1);
  await t.throwsAsync(board.record('usage-7', REPORT));
  t.true(await board.record('usage-8', { window: 8, counts: {} }));
  t.deepEqual(board.records.get('usage-7'), REPORT);
});

test('after a lost reply, a term that was taken meanwhile is noticed before the next act', async (t) => {
  const log = new MemoryKeyedLog();
  const first = new DutyBoard({ log, node: 'n1' });
  const second = new DutyBoard({ log, node: 'n2' });
  await first.takeOver();
  log.loseReplies(1);
  await t.throwsAsync(first.record('usage-7', REPORT));
  await second.takeOver();
  t.false(await first.record('usage-8', REPORT));
});

test('while the log is away nothing is recorded, so nothing is done', async (t) => {
  const log = new MemoryKeyedLog();
  const board = new DutyBoard({ log, node: 'n1' });
  await board.takeOver();
  log.setDown(true);
  await t.throwsAsync(board.record('usage-7', REPORT));
  log.setDown(false);
  t.true(await board.record('usage-7', REPORT));
});

test('a node that starts again finds that it held the newest term', async (t) => {
  const log = new MemoryKeyedLog();
  await new DutyBoard({ log, node: 'n1' }).takeOver();
  t.is(await new DutyBoard({ log, node: 'n2' }).newestHolder(), 'n1');
  t.is(await new DutyBoard({ log: new MemoryKeyedLog(), node: 'n2' }).newestHolder(), undefined);
});
