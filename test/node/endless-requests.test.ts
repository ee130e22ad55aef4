import test from 'ava';
import { EndlessCallers } from '../core/endless-callers.ts';
import { serveBeside } from '../core/serve-beside.ts';

const MB = 1024 * 1024;
const PROGRAM = new URL('http-server-program.ts', import.meta.url);
/** Bodies of 16 callers, each copied once, and what is collected late. */
const MAX_GROWTH_BYTES = 16 * 3 * MB + 64 * MB;
const MAX_SOUND_MS = 1_000;

// Guards against callers whose bytes without end take the memory or the processor of a node from others (LOST).
for (const kind of EndlessCallers.kinds) {
  test.serial(`requests are answered beside callers that send ${kind} without end`, async (t) => {
    const report = await serveBeside({
      ...{ program: PROGRAM, kind, target: 'POST /x', soundPath: '/sound' },
      headers: ['Content-Type: application/json'],
    });
    t.is(report.served, 1);
    t.true(report.growthBytes < MAX_GROWTH_BYTES, `${Math.round(report.growthBytes / MB)} MB more`);
    t.true(report.maxSoundMs < MAX_SOUND_MS, `a request took ${report.maxSoundMs} ms`);
  });
}
