import type { ProcessorUse } from '../types/processor-use.ts';

const US_PER_MS = 1_000;

/** Processor time of the process so far, in milliseconds. */
function readProcess(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

interface ProcessorMeterOptions {
  /** Processor time of the process so far, in milliseconds. */
  readonly read?: () => number;
  /**
   * Share of the runs that are measured, one divided by a power of two; each counts for the others.
   * @default 1
   */
  readonly measuredShare?: number;
}

/**
 * Measures which activities use the processor time of the process. Only synchronous work is measured;
 * threads of the runtime that work beside it count, too.
 */
export class ProcessorMeter {
  readonly #read: () => number;
  readonly #byActivity = new Map<string, { readonly ms: number; readonly count: number }>();
  readonly #measuredShare: number;
  #runs = 0;
  /** The outermost activity in progress is measured; undefined while none is in progress. */
  #isMeasuring: boolean | undefined;
  /** What activities have used that ran within the one in progress. */
  #nestedMs = 0;

  constructor({ read = readProcess, measuredShare = 1 }: ProcessorMeterOptions = {}) {
    this.#read = read;
    this.#measuredShare = measuredShare;
  }

  get use(): ProcessorUse {
    return { totalMs: this.#read(), byActivity: new Map(this.#byActivity) };
  }

  /** Runs `run` and adds what it uses to the activity, less what activities within it use. */
  measure<Result>(activity: string, run: () => Result): Result {
    if (this.#isMeasuring !== undefined) return this.#measureNested(activity, run);
    this.#runs += 1;
    this.#isMeasuring = (this.#runs * this.#measuredShare) % 1 === 0;
    try {
      return this.#measureNested(activity, run);
    } finally {
      this.#isMeasuring = undefined;
    }
  }

  #measureNested<Result>(activity: string, run: () => Result): Result {
    if (!this.#isMeasuring) {
      this.#add(activity, 0);
      return run();
    }
    const outerNestedMs = this.#nestedMs;
    const startedMs = this.#read();
    this.#nestedMs = 0;
    try {
      return run();
    } finally {
      const usedMs = this.#read() - startedMs;
      this.#add(activity, (usedMs - this.#nestedMs) / this.#measuredShare);
      this.#nestedMs = outerNestedMs + usedMs;
    }
  }

  /** Adds what no activity has used so far. */
  addUnmeasured(activity: string): void {
    const { totalMs, byActivity } = this.use;
    const measuredMs = [...byActivity.values()].reduce((sum, { ms }) => sum + ms, 0);
    this.#add(activity, totalMs - measuredMs);
  }

  #add(activity: string, ms: number): void {
    const before = this.#byActivity.get(activity) ?? { ms: 0, count: 0 };
    this.#byActivity.set(activity, { ms: before.ms + ms, count: before.count + 1 });
  }
}
