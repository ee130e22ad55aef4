import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { entryOf } from './entry-of.ts';

/** Start of the boot of an entry by default. */
const BORN_MS = entryOf().bornMs;

// Guards against orders that reach a leaving runner and are lost at its exit (DRAIN).
test('pattern: entry without a boot, or of an earlier one, for a runner that is leaving; it stays leaving', (t) => {
  for (const bornMs of [0, BORN_MS - 1]) {
    const directory = new RunnerDirectory({ clock: new ManualClock() });
    directory.put(entryOf());
    directory.put(entryOf({ isDraining: true }));
    t.false(directory.put(entryOf({ bornMs })));
    t.true(directory.find('r')?.isDraining);
    directory.replaceAll([entryOf({ bornMs })]);
    t.true(directory.find('r')?.isDraining);
    directory.remove('r');
    t.false(directory.put(entryOf({ bornMs })));
    t.is(directory.find('r'), undefined);
  }
});

// Guards against a node that knows only another writer's entry of a leaving runner (DRAIN).
test('pattern: only an entry without a boot is known, and a peer tells that the runner is leaving', (t) => {
  const directory = new RunnerDirectory({ clock: new ManualClock() });
  directory.put(entryOf({ bornMs: 0 }));
  t.true(directory.markLeaving({ id: 'r', bornMs: BORN_MS }));
  t.true(directory.find('r')?.isDraining);
  t.false(directory.put(entryOf({ bornMs: 0 })));
});

test('entries are used where runners name no boot, and a later boot replaces one that was leaving', (t) => {
  const directory = new RunnerDirectory({ clock: new ManualClock() });
  directory.put(entryOf({ bornMs: 0 }));
  t.true(directory.put(entryOf({ bornMs: 0, slots: 8 })));
  t.is(directory.find('r')?.slots, 8);
  directory.put(entryOf({ isDraining: true }));
  t.true(directory.put(entryOf({ bornMs: BORN_MS + 1 })));
  t.false(directory.find('r')?.isDraining);
});

// Guards against an entry in doubt that is tried again with each request for ever.
test('pattern: store restored; a later boot is told to leave before an entry in doubt may be used', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.put(entryOf());
  directory.remove('r');
  directory.restoreAll([entryOf()]);
  t.true(directory.markLeaving({ id: 'r', bornMs: BORN_MS + 1 }));
  clock.advance(10_000);
  let puts = 0;
  const put = directory.put.bind(directory);
  directory.put = (entry) => {
    puts += 1;
    return put(entry);
  };
  for (let request = 0; request < 3; request += 1) t.deepEqual(directory.ofService('s'), []);
  t.is(puts, 1);
});
