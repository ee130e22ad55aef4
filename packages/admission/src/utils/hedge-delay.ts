const WINDOW_SAMPLES = 256;
const MIN_SAMPLES = 20;
const QUANTILE = 0.95;
/** Number of samples after which the quantile is computed again. */
const REFRESH_SAMPLES = 16;

/** Delay after which a hedge is sent: the 95th percentile of recent latencies. */
export class HedgeDelay {
  readonly #latenciesMs: number[] = [];
  #samples = 0;
  #delayMs: number | undefined;

  /** Records the latency of an answered request. */
  record(latencyMs: number): void {
    this.#latenciesMs[this.#samples % WINDOW_SAMPLES] = latencyMs;
    this.#samples += 1;
    if (this.#samples < MIN_SAMPLES) return;
    const isDue = this.#delayMs === undefined || this.#samples % REFRESH_SAMPLES === 0;
    if (isDue) this.#refresh();
  }

  /** Delay in milliseconds; `undefined` until enough latencies have been recorded. */
  get delayMs(): number | undefined {
    return this.#delayMs;
  }

  #refresh(): void {
    const sorted = [...this.#latenciesMs].sort((a, b) => a - b);
    this.#delayMs = sorted[Math.ceil(QUANTILE * sorted.length) - 1];
  }
}
