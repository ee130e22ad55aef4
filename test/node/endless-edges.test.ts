import test from 'ava';
import { EndlessServer } from '../core/endless-server.ts';
import { runCalls } from '../core/run-calls.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('edge-calls.ts', import.meta.url);
const CALLS = 16;
/** Half a second for each call beyond its time-out. */
const SLACK_MS = 500;
const TIMEOUT_MS = 1_000;
/** Time-outs of the product's own; the others are given by the test. */
const TIMEOUTS_MS: Readonly<Record<string, number>> = {
  'an engine': 2_000,
  'a runner with a cache': 30_000,
};
const MAX_DELAY_MS = 500;
const MAX_SOUND_MS = 1_000;
/** Bounds of a response where they are larger than 2 MiB; a runner has four connections at a time. */
const RESPONSE_BYTES: Readonly<Record<string, number>> = {
  'a probed runner': 4 * MB,
  'a runner with a cache': 16 * MB,
  'an application': 16 * MB,
};
const TARGETS = [
  'a peer',
  'a runner',
  'a probed runner',
  'a runner with a cache',
  'an application',
  'an engine',
  'a model',
];
const KINDS = ['a body with a length', 'a body in chunks of 1 byte', 'interim responses'];

// Guards against bytes without end that take the memory of a node, or its processor, from other requests (LOST).
for (const target of TARGETS) {
  for (const kind of KINDS) {
    test.serial(
      `${target} that sends ${kind} without end costs neither memory nor other calls`,
      async (t) => {
        const server = await new EndlessServer({ kind, sound: '{}' }).listen();
        t.teardown(() => {
          server.close();
        });
        const report = await runCalls(PROGRAM, [`${server.port}`, target]);
        t.is(report.failed, CALLS);
        // Each response is copied once while its block grows, and some memory is collected late.
        const maxGrowthBytes = CALLS * 3 * (RESPONSE_BYTES[target] ?? 2 * MB) + 64 * MB;
        const maxMs = (TIMEOUTS_MS[target] ?? TIMEOUT_MS) + SLACK_MS;
        t.true(report.tookMs < maxMs, `ended after ${report.tookMs} ms`);
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
