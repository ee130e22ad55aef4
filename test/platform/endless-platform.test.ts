import test from 'ava';
import { EndlessServer } from '../core/endless-server.ts';
import { runCalls } from '../core/run-calls.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('platform-calls.ts', import.meta.url);
const CALLS = 16;
/** Time-out of a call, twice since connecting has its own, and half a second. */
const MAX_MS = 2_500;
const MAX_DELAY_MS = 500;
const MAX_SOUND_MS = 1_000;
/** Growth for 16 answers of 16 MiB, each copied once while its block grows, and for what is collected late. */
const MAX_GROWTH_BYTES = CALLS * 3 * 16 * MB + 64 * MB;
const KINDS = ['a body with a length', 'a body in chunks of 1 byte', 'interim responses'];

// Guards against a platform whose bytes never end: a node ran out of memory, or stood still (LOST).
for (const kind of KINDS) {
  test.serial(
    `a platform that sends ${kind} without end costs neither memory nor other calls`,
    async (t) => {
      const server = await new EndlessServer({ kind, sound: '{}' }).listen();
      t.teardown(() => {
        server.close();
      });
      const report = await runCalls(PROGRAM, [`${server.port}`]);
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
