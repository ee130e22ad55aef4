const BUCKETS_PER_DOUBLING = 4;
const BUCKETS = 96;
const MIN_VALUE_MS = 0.25;
/** Number of samples after which all counts are halved. */
const HALVING_SAMPLES = 2000;

function bucketOf(value: number): number {
  const index = Math.ceil(BUCKETS_PER_DOUBLING * Math.log2(Math.max(value, MIN_VALUE_MS) * 4));
  return Math.min(BUCKETS - 1, Math.max(0, index));
}

function upperBound(bucket: number): number {
  return MIN_VALUE_MS * 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/** Quantiles of recent durations from a histogram with geometric buckets whose counts decay. */
export class DecayingQuantile {
  readonly #counts = new Float64Array(BUCKETS);
  #total = 0;

  /** Total weight of the samples in the histogram. */
  get weight(): number {
    return this.#total;
  }

  /** Adds a duration in milliseconds. */
  add(ms: number): void {
    const bucket = bucketOf(ms);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + 1;
    this.#total += 1;
    if (this.#total >= HALVING_SAMPLES) this.#halve();
  }

  /** Upper bound of the bucket that contains the quantile; `undefined` without samples. */
  quantile(fraction: number): number | undefined {
    if (this.#total === 0) return undefined;
    let cumulative = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      cumulative += this.#counts[bucket] ?? 0;
      if (cumulative >= fraction * this.#total) return upperBound(bucket);
    }
    return upperBound(BUCKETS - 1);
  }

  #halve(): void {
    this.#total = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const half = (this.#counts[bucket] ?? 0) / 2;
      this.#counts[bucket] = half;
      this.#total += half;
    }
  }
}
