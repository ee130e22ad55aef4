import test from 'ava';
import { ManualClock } from '@ragwortrudder/core';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry } from '@ragwortrudder/catalog';

function entryOf(id: string, change: Partial<RunnerEntry> = {}): RunnerEntry {
  return {
    id,
    service: 's',
    address: { host: '127.0.0.1', port: 1 },
    failureDomain: 'a',
    version: 'v1',
    slots: 8,
    isDraining: false,
    coldMs: 0,
    bornMs: 1,
    isSpot: false,
    ...change,
  };
}

/** Ids of the runners that may get requests. */
function usable(directory: RunnerDirectory): readonly string[] {
  return directory
    .ofService('s')
    .filter(({ isDraining }) => !isDraining)
    .map(({ id }) => id)
    .toSorted();
}

// Guards against runners that come back with an older list (CONFIG).
test('pattern: store restored; a draining runner stays so for its boot, and a new boot is used', (t) => {
  const directory = new RunnerDirectory({ clock: new ManualClock(0) });
  directory.replaceAll([entryOf('r0'), entryOf('r1')]);
  directory.put(entryOf('r0', { isDraining: true }));
  directory.restoreAll([entryOf('r0'), entryOf('r1')]);
  t.deepEqual(usable(directory), ['r1']);
  directory.put(entryOf('r0'));
  t.deepEqual(usable(directory), ['r1']);
  directory.put(entryOf('r0', { bornMs: 2 }));
  t.deepEqual(usable(directory), ['r0', 'r1']);
  directory.restoreAll([entryOf('r0', { isDraining: true }), entryOf('r1')]);
  t.deepEqual(usable(directory), ['r0', 'r1']);
});

// Guards against runners that come back with an older list (CONFIG).
test('pattern: store restored; a removed runner is used again only when it shows that it lives', (t) => {
  const clock = new ManualClock(0);
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf('r0'), entryOf('r1'), entryOf('r2')]);
  for (const id of ['r0', 'r1', 'r2']) directory.remove(id);
  directory.restoreAll([entryOf('r0'), entryOf('r1'), entryOf('r2')]);
  t.deepEqual(usable(directory), []);
  directory.put(entryOf('r0'));
  directory.remove('r1');
  t.deepEqual(usable(directory), ['r0']);
  clock.advance(10_000);
  t.deepEqual(usable(directory), ['r0', 'r2']);
});

// Guards against runners that come back with an older list (CONFIG).
test('pattern: store restored; runners that the older list lacks are kept until they are back', (t) => {
  const clock = new ManualClock(0);
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf('r0'), entryOf('r1'), entryOf('r2')]);
  directory.restoreAll([entryOf('r0')]);
  t.deepEqual(usable(directory), ['r0', 'r1', 'r2']);
  directory.put(entryOf('r1'));
  clock.advance(2_500);
  t.deepEqual(usable(directory), ['r0', 'r1']);
});

// Guards against sending requests to a runner whose response said that it is leaving (DRAIN).
test('pattern: scale in; what a runner says of itself outlives the list and ends with its boot', (t) => {
  const clock = new ManualClock(0);
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf('r0'), entryOf('r1')]);
  t.true(directory.markLeaving({ id: 'r0', bornMs: 1 }));
  t.false(directory.markLeaving({ id: 'r0', bornMs: 1 }));
  directory.remove('r0');
  directory.put(entryOf('r0'));
  clock.advance(60_000);
  t.deepEqual(usable(directory), ['r1']);
  t.deepEqual(directory.leaving, [{ id: 'r0', bornMs: 1 }]);
  directory.put(entryOf('r0', { bornMs: 2 }));
  t.deepEqual(usable(directory), ['r0', 'r1']);
  t.false(directory.markLeaving({ id: 'r0', bornMs: 1 }));
  t.deepEqual(directory.leaving, []);
});

// Guards against sending requests to a runner whose response said that it is leaving (DRAIN).
test('pattern: scale in; a peer may know of a leaving runner before the list has it', (t) => {
  const directory = new RunnerDirectory({ clock: new ManualClock(0) });
  t.true(directory.markLeaving({ id: 'r0', bornMs: 1 }));
  directory.replaceAll([entryOf('r0'), entryOf('r1')]);
  t.deepEqual(usable(directory), ['r1']);
});
