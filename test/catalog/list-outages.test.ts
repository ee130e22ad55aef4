import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { entryOf } from './entry-of.ts';

const READ_PERIOD_MS = 700;
const FAILED_READ_MS = 400;

/** Lets the list be read for a time, with a failed read every other second. */
function readWithFailures(directory: RunnerDirectory, clock: ManualClock, ms: number): void {
  const endsAt = clock.monotonic() + ms;
  while (clock.monotonic() < endsAt) {
    for (let read = 0; read < 2; read += 1) {
      directory.markAvailable();
      clock.advance(READ_PERIOD_MS);
    }
    directory.markUnavailable();
    clock.advance(FAILED_READ_MS);
  }
  directory.markAvailable();
}

// Guards against requests to a runner that was removed, for as long as single reads of the list fail (DRAIN).
test('pattern: removed runner, while a read of the list fails now and then; it is not used any more', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf({ id: 'r0' }), entryOf({ id: 'r1' })]);
  readWithFailures(directory, clock, 4_000);
  directory.remove('r0');
  t.deepEqual(
    directory.ofService('s').map(({ id }) => id),
    ['r1'],
  );
});

// Guards against requests to a runner that was removed, for as long as single reads of the list fail (DRAIN).
test('pattern: removed runner after an outage, then single failed reads; it is used for the grace period only', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf({ id: 'r0' }), entryOf({ id: 'r1' })]);
  directory.markUnavailable();
  clock.advance(5_000);
  directory.markAvailable();
  directory.remove('r0');
  readWithFailures(directory, clock, 2_000);
  t.deepEqual(
    directory.ofService('s').map(({ id }) => id),
    ['r1'],
  );
});

// Guards against the loss of live runners that could not renew their entries in two outages, one shortly after the other.
test('pattern: two outages in a row; a runner that expired in the first one is kept until it may be listed again', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf({ id: 'r0' })]);
  clock.advance(5_000);
  directory.markAvailable();
  directory.remove('r0');
  clock.advance(500);
  directory.markUnavailable();
  clock.advance(5_000);
  t.is(directory.ofService('s').length, 1);
  directory.markAvailable();
  clock.advance(1_500);
  directory.markAvailable();
  t.is(directory.ofService('s').length, 1);
  clock.advance(1_000);
  t.is(directory.ofService('s').length, 0);
});

// Guards against requests to a runner whose entry cannot be read any more, for as long as entries are retained after an outage.
test('pattern: entry that another writer replaced by an unreadable one, after an outage; it is used again only when it is renewed', (t) => {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf({ id: 'r0' })]);
  clock.advance(5_000);
  directory.markAvailable();
  directory.reject('r0');
  t.deepEqual(directory.ofService('s'), []);
  t.true(directory.put(entryOf({ id: 'r0' })));
  t.is(directory.ofService('s').length, 1);
});

/** Two nodes, of which one cannot read the list for a time; the other one reports to it again afterwards. */
function readAfterOutage({
  isReadElsewhere,
}: {
  readonly isReadElsewhere: boolean;
}): RunnerDirectory {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock });
  const other = new RunnerDirectory({ clock });
  directory.replaceAll([entryOf({ id: 'r0' }), entryOf({ id: 'r1' })]);
  other.replaceAll([]);
  for (let read = 0; read < 7; read += 1) {
    clock.advance(READ_PERIOD_MS);
    if (isReadElsewhere) other.markAvailable();
  }
  other.markAvailable();
  directory.markAvailable();
  directory.remove('r0');
  directory.recordReadElsewhere(other.readableMs);
  return directory;
}

// Guards against requests to a runner that left while a node alone did not reach the list (DRAIN).
test('pattern: node that is cut off from the list while a peer reads it; a removed runner is not retained', (t) => {
  const directory = readAfterOutage({ isReadElsewhere: true });
  t.deepEqual(
    directory.ofService('s').map(({ id }) => id),
    ['r1'],
  );
});

test('pattern: list that no node can read; a removed runner is retained', (t) => {
  const directory = readAfterOutage({ isReadElsewhere: false });
  t.is(directory.ofService('s').length, 2);
});
