const MS_PER_S = 1000;
/** A sample covers at least this time and this many drained requests … */
const MIN_WINDOW_MS = 500;
const MIN_WINDOW_REQUESTS = 8;
/** … or this time. */
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

  /** Cost drained per second. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** Notes that a request of this cost was drained. */
  drained(cost: number): void {
    this.#windowCost += cost;
    this.#windowRequests += 1;
  }

  /** Notes the time, and whether work is waiting: without a backlog nothing can be measured. */
  observe(hasBacklog: boolean, now: number): void {
    if (!hasBacklog) {
      this.#windowStart = undefined;
      return;
    }
    if (this.#windowStart === undefined) {
      this.#restart(now);
      return;
    }
    const elapsedMs = now - this.#windowStart;
    const isLong = elapsedMs >= MIN_WINDOW_MS && this.#windowRequests >= MIN_WINDOW_REQUESTS;
    if (!isLong && elapsedMs < MAX_WINDOW_MS) return;
    this.#learn((this.#windowCost * MS_PER_S) / elapsedMs);
    this.#restart(now);
  }

  /** Time in milliseconds in which `cost` drains. */
  drainMs(cost: number): number {
    if (cost <= 0) return 0;
    return (cost * MS_PER_S) / this.#perSecond;
  }

  #restart(now: number): void {
    this.#windowStart = now;
    this.#windowCost = 0;
    this.#windowRequests = 0;
  }

  #learn(sample: number): void {
    if (this.#isMeasured) {
      this.#perSecond += GAIN * (sample - this.#perSecond);
      return;
    }
    if (sample === 0) return;
    this.#perSecond = sample;
    this.#isMeasured = true;
  }
}
