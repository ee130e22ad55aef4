import type { CallsReport } from './calls-report.ts';

interface MeasuredCalls {
  readonly count: number;
  readonly call: () => Promise<unknown>;
  /** Sound call that is made again and again beside the others. */
  readonly soundCall: () => Promise<unknown>;
}

const SAMPLE_MS = 10;
/** Time between two sound calls, in milliseconds. */
const SOUND_PAUSE_MS = 50;

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Runs calls at a time in this process, and prints what they took from it as a {@link CallsReport}. */
export async function measureCalls({ count, call, soundCall }: MeasuredCalls): Promise<void> {
  await soundCall();
  const before = process.memoryUsage().rss;
  const startedAt = performance.now();
  let peak = before;
  let maxDelayMs = 0;
  let expectedAt = startedAt + SAMPLE_MS;
  const timer = setInterval(() => {
    const now = performance.now();
    peak = Math.max(peak, process.memoryUsage().rss);
    maxDelayMs = Math.max(maxDelayMs, now - expectedAt);
    expectedAt = now + SAMPLE_MS;
  }, SAMPLE_MS);
  let isRunning = true;
  let failed = 0;
  const soundMs: number[] = [];
  const callSound = async (): Promise<void> => {
    while (isRunning) {
      const soundAt = performance.now();
      await soundCall();
      soundMs.push(performance.now() - soundAt);
      await sleep(SOUND_PAUSE_MS);
    }
  };
  const sound = callSound().catch(() => {
    soundMs.push(Infinity);
  });
  await Promise.all(
    Array.from({ length: count }, async () => {
      await call().catch(() => {
        failed += 1;
      });
    }),
  );
  const tookMs = performance.now() - startedAt;
  isRunning = false;
  await sound;
  clearInterval(timer);
  const report: CallsReport = {
    growthBytes: peak - before,
    tookMs,
    failed,
    maxDelayMs,
    soundCalls: soundMs.length,
    maxSoundMs: Math.min(Number.MAX_SAFE_INTEGER, Math.max(...soundMs)),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`, () => process.exit(0));
}
