const MS_PER_S = 1000;
/** A sample ends once it covers this time and {@link MIN_WINDOW_REQUESTS} drained requests. */
const MIN_WINDOW_MS = 500;
const MIN_WINDOW_REQUESTS = 8;
/** A sample ends after this time even with fewer drained requests. */
const MAX_WINDOW_MS = 5000;
const GAIN = 0.3;

/** Measures the cost drained per second while there is a backlog. */
export class DrainRate {
  #perSecond: number;
  #isMeasured = false;
  #windowStart: number | undefined;
  #windowCost = 0;
  #windowRequests = 0;

  constructor(initialPerSecond: number) {
    this.#perSecond = initialPerSecond;
  }

  /** Estimated cost drained per second. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** Records that a request of this cost was drained. */
  recordDrained(cost: number): void {
    this.#windowCost += cost;
    this.#windowRequests += 1;
  }

  /**
   * Updates the measurement window; the drain rate can be measured only while there is a backlog.
   */
  observe(hasBacklog: boolean, now: number): void {
    if (!hasBacklog) {
      this.#windowStart = undefined;
      return;
    }
    if (this.#windowStart === undefined) {
      this.#startWindow(now);
      return;
    }
    const elapsedMs = now - this.#windowStart;
    const isComplete = elapsedMs >= MIN_WINDOW_MS && this.#windowRequests >= MIN_WINDOW_REQUESTS;
    if (!isComplete && elapsedMs < MAX_WINDOW_MS) return;
    this.#addSample((this.#windowCost * MS_PER_S) / elapsedMs);
    this.#startWindow(now);
  }

  /** Time in milliseconds that `cost` takes to drain. */
  drainMs(cost: number): number {
    if (cost <= 0) return 0;
    return (cost * MS_PER_S) / this.#perSecond;
  }

  #startWindow(now: number): void {
    this.#windowStart = now;
    this.#windowCost = 0;
    this.#windowRequests = 0;
  }

  #addSample(sample: number): void {
    if (this.#isMeasured) {
      this.#perSecond += GAIN * (sample - this.#perSecond);
      return;
    }
    if (sample === 0) return;
    this.#perSecond = sample;
    this.#isMeasured = true;
  }
}
