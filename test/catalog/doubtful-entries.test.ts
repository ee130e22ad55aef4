import test from 'ava';
import { RunnerDirectory } from '@ragwortrudder/catalog';
import type { RunnerEntry } from '@ragwortrudder/catalog';
import { ManualClock } from '@ragwortrudder/core';
import { entryOf } from './entry-of.ts';

const HEARTBEAT_MS = 1_200;
const BORN_MS = entryOf().bornMs;
/** Start of the next boot, by a clock that was set back. */
const BORN_EARLIER_MS = BORN_MS - 2_000;

interface TestEnvironment {
  readonly clock: ManualClock;
  readonly directory: RunnerDirectory;
  /** Ports of the runners that may get requests. */
  readonly usedPorts: () => readonly number[];
  /** Writes an entry again and again, one heartbeat apart. */
  readonly renew: (entry: RunnerEntry, times: number) => void;
}

const NEXT_BOOT = entryOf({ bornMs: BORN_EARLIER_MS, address: { host: '127.0.0.1', port: 2 } });

function createDirectory(): TestEnvironment {
  const clock = new ManualClock();
  const directory = new RunnerDirectory({ clock, heartbeatMs: HEARTBEAT_MS });
  directory.put(entryOf());
  return {
    clock,
    directory,
    usedPorts: () =>
      directory
        .ofService('s')
        .filter(({ isDraining }) => !isDraining)
        .map(({ address }) => address.port),
    renew: (entry, times) => {
      for (let time = 0; time < times; time += 1) {
        clock.advance(HEARTBEAT_MS);
        directory.put(entry);
      }
    },
  };
}

// Guards against requests to the address of an ended boot, which another runner may have by then (DRAIN, ROUTE).
test('pattern: runner that starts again with its clock set back; its new address is used once it is renewed', (t) => {
  const { renew, usedPorts } = createDirectory();
  renew(NEXT_BOOT, 2);
  t.deepEqual(usedPorts(), [2]);
});

// Guards against requests to a runner that said that it is leaving, in a boot with an earlier start than the one before (DRAIN).
test('pattern: runner that starts again with its clock set back, and leaves; it gets nothing more', (t) => {
  const { clock, directory, renew, usedPorts } = createDirectory();
  renew(NEXT_BOOT, 2);
  clock.advance(HEARTBEAT_MS);
  directory.put({ ...NEXT_BOOT, isDraining: true });
  t.deepEqual(usedPorts(), []);
  t.deepEqual(directory.leaving, [{ id: 'r', bornMs: BORN_EARLIER_MS }]);
  renew(NEXT_BOOT, 2);
  t.deepEqual(usedPorts(), []);
});

// Guards against a runner that is never used again after its removal, because its clock was set back.
test('pattern: runner that is removed and starts again with its clock set back; it is used once it is renewed', (t) => {
  const { directory, renew, usedPorts } = createDirectory();
  directory.put(entryOf({ isDraining: true }));
  directory.remove('r');
  renew(NEXT_BOOT, 2);
  t.deepEqual(usedPorts(), [2]);
  t.false(directory.markLeaving({ id: 'r', bornMs: BORN_MS }));
  t.deepEqual(usedPorts(), [2]);
});

// Guards against requests to a runner that was removed, brought back by an entry that was written late (DRAIN).
test('pattern: runner that is removed, and an entry of it that is written late; it is used only if it is renewed', (t) => {
  const { clock, directory, renew, usedPorts } = createDirectory();
  directory.remove('r');
  t.false(directory.put(entryOf()));
  t.deepEqual(usedPorts(), []);
  clock.advance(10 * HEARTBEAT_MS);
  t.deepEqual(usedPorts(), []);
  renew(entryOf(), 1);
  t.deepEqual(usedPorts(), [1]);
});

test('pattern: two late entries of an earlier boot between renewals of the newer one; they change nothing', (t) => {
  const { directory, renew, usedPorts } = createDirectory();
  for (let time = 0; time < 2; time += 1) {
    directory.put(NEXT_BOOT);
    renew(entryOf(), 1);
  }
  t.deepEqual(usedPorts(), [1]);
});

test('pattern: entries without a boot for a runner that names one; they change nothing, however often they come', (t) => {
  const { directory, renew, usedPorts } = createDirectory();
  directory.put(entryOf({ isDraining: true }));
  renew(entryOf({ bornMs: 0 }), 5);
  t.deepEqual(usedPorts(), []);
});
