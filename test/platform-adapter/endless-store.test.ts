import test from 'ava';
import { EndlessServer } from '../core/endless-server.ts';
import { runCalls } from '../core/run-calls.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('store-calls.ts', import.meta.url);
const CALLS = 16;
const WAIT_MS = 1_000;
/** Time-out of a call beyond its long-poll time, and half a second. */
const MAX_MS = WAIT_MS + 1_200 + 500;
/**
 * Growth for `CALLS` replies of 2 MiB at most, each of them copied once while its block grows, and for
 * what the process allocates and has not collected yet.
 */
const MAX_GROWTH_BYTES = CALLS * 3 * 2 * MB + 64 * MB;
/** Late by as much as a call may be beyond its time-out. */
const MAX_DELAY_MS = 500;
/** Time-out of a call. */
const MAX_SOUND_MS = 1_200;

// Guards against a store whose bytes never end: the node that reads ran out of memory, or stood still (LOST).
for (const kind of EndlessServer.kinds) {
  test.serial(
    `a store that sends ${kind} without end costs neither memory nor other calls`,
    async (t) => {
      const server = await new EndlessServer({ kind, sound: 'ok' }).listen();
      t.teardown(() => {
        server.close();
      });
      const report = await runCalls(PROGRAM, [`${server.port}`, `${CALLS}`, `${WAIT_MS}`]);
      t.is(report.failed, CALLS);
      t.true(report.tookMs < MAX_MS, `ended after ${report.tookMs} ms`);
      t.true(
        report.growthBytes < MAX_GROWTH_BYTES,
        `${Math.round(report.growthBytes / MB)} MB more`,
      );
      t.true(report.maxDelayMs < MAX_DELAY_MS, `a timer was late by ${report.maxDelayMs} ms`);
      t.true(report.maxSoundMs < MAX_SOUND_MS, `a sound call took ${report.maxSoundMs} ms`);
    },
  );
}
