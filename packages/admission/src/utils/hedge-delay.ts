const WINDOW = 256;
const MIN_SAMPLES = 20;
const QUANTILE = 0.95;
/** Samples between two computations of the quantile. */
const REFRESH_SAMPLES = 16;

/** Delay after which a hedge is worth its cost: the 95th percentile of recent latencies. */
export class HedgeDelay {
  readonly #latenciesMs: number[] = [];
  #samples = 0;
  #delayMs: number | undefined;

  /** Takes in the latency of a request that was answered. */
  record(latencyMs: number): void {
    this.#latenciesMs[this.#samples % WINDOW] = latencyMs;
    this.#samples += 1;
    if (this.#samples < MIN_SAMPLES) return;
    const isDue = this.#delayMs === undefined || this.#samples % REFRESH_SAMPLES === 0;
    if (isDue) this.#refresh();
  }

  /** Delay in milliseconds; `undefined` before enough latencies were seen. */
  get delayMs(): number | undefined {
    return this.#delayMs;
  }

  #refresh(): void {
    const sorted = [...this.#latenciesMs].sort((a, b) => a - b);
    this.#delayMs = sorted[Math.ceil(QUANTILE * sorted.length) - 1];
  }
}
