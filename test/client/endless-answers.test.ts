import test from 'ava';
import { EndlessServer } from '../core/endless-server.ts';
import { runCalls } from '../core/run-calls.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('client-calls.ts', import.meta.url);
const CALLS = 16;
/** Time-out of a call, and half a second. */
const MAX_MS = 1_500;
const MAX_DELAY_MS = 500;
const MAX_SOUND_MS = 1_000;
/** Bound of an answer. */
const ANSWER_BYTES: Readonly<Record<string, number>> = { 'an answer': 16 * MB, 'a stream': MB };
const KINDS = [
  'a body with a length',
  'a body in chunks of 1 byte',
  'comments in chunks',
  'interim responses',
];

// Guards against a node whose bytes without end take the memory or the processor of its caller.
for (const [target, maxBytes] of Object.entries(ANSWER_BYTES)) {
  for (const kind of KINDS) {
    test.serial(
      `${target} that is ${kind} without end costs a caller neither memory nor other calls`,
      async (t) => {
        const server = await new EndlessServer({ kind, sound: '{}' }).listen();
        t.teardown(() => {
          server.close();
        });
        const report = await runCalls(PROGRAM, [`${server.port}`, target]);
        // An answer is copied once while its block grows, and some memory is collected late.
        const maxGrowthBytes = CALLS * 3 * maxBytes + 64 * MB;
        t.is(report.failed, CALLS);
        t.true(report.tookMs < MAX_MS, `ended after ${report.tookMs} ms`);
        t.true(
          report.growthBytes < maxGrowthBytes,
          `${Math.round(report.growthBytes / MB)} MB more`,
        );
        t.true(report.maxDelayMs < MAX_DELAY_MS, `a timer was late by ${report.maxDelayMs} ms`);
        t.true(report.maxSoundMs < MAX_SOUND_MS, `a sound call took ${report.maxSoundMs} ms`);
      },
    );
  }
}
