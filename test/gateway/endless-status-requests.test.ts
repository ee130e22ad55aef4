import test from 'ava';
import { EndlessCallers } from '../core/endless-callers.ts';
import { serveBeside } from '../core/serve-beside.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('status-program.ts', import.meta.url);
const MAX_GROWTH_BYTES = 64 * MB;
/** Readiness is checked once a second. */
const MAX_SOUND_MS = 1_000;

// Guards against: whoever reaches the address of the metrics takes the memory or the processor of a node (LOST).
for (const kind of EndlessCallers.kinds) {
  test.serial(
    `readiness checks are answered beside requests that send ${kind} without end`,
    async (t) => {
      const report = await serveBeside({
        ...{ program: PROGRAM, kind },
        ...{ target: 'GET /metrics', soundPath: '/ready' },
      });
      t.is(report.served, 1);
      t.true(report.maxSoundMs < MAX_SOUND_MS, `a check took ${report.maxSoundMs} ms`);
      t.true(
        report.growthBytes < MAX_GROWTH_BYTES,
        `${Math.round(report.growthBytes / MB)} MB more`,
      );
    },
  );
}
