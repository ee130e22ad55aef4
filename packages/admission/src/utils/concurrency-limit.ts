import type { Completion } from '../types/completion.ts';
import type { ConcurrencyLimitOptions } from '../types/concurrency-limit-options.ts';

const DEFAULT_INITIAL = 8;
const DEFAULT_FLOOR = 1;
const DEFAULT_CEILING = 256;
const DEFAULT_TOLERANCE = 2;
const DEFAULT_WINDOW_MS = 30_000;
const CONGESTION_DECREASE = 0.9;
const OVERLOAD_DECREASE = 0.7;
const MINIMUM_RISE_DECREASE = 0.5;
/** Rise of the windowed minimum latency above which the limit is lowered to measure it again. */
const MAX_MINIMUM_RISE = 1.1;

/**
 * Adaptive limit of the requests in flight at one endpoint: additive increase while latency stays
 * near its windowed minimum, multiplicative decrease at most once per round trip when it is above.
 * After a decrease or recovery, slow start raises the limit up to half of its previous value.
 */
export class ConcurrencyLimit {
  readonly #floor: number;
  readonly #ceiling: number;
  readonly #initial: number;
  readonly #tolerance: number;
  readonly #noiseMs: number;
  readonly #windowMs: number;
  #limit: number;
  #slowStartThreshold: number;
  #inFlight = 0;
  #minimumMs = Infinity;
  #windowMinimumMs = Infinity;
  #windowEnd = -Infinity;
  #nextDecreaseAt = -Infinity;

  constructor(options: ConcurrencyLimitOptions = {}) {
    this.#initial = options.initial ?? DEFAULT_INITIAL;
    this.#floor = options.floor ?? DEFAULT_FLOOR;
    this.#ceiling = options.ceiling ?? DEFAULT_CEILING;
    this.#tolerance = options.tolerance ?? DEFAULT_TOLERANCE;
    this.#noiseMs = options.noiseMs ?? 0;
    this.#windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this.#limit = this.#clamp(this.#initial);
    this.#slowStartThreshold = this.#ceiling;
  }

  /** Current limit, rounded down. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Admits a request unless the limit is reached; returns whether it was admitted. */
  tryAcquire(): boolean {
    if (this.#inFlight >= this.limit) return false;
    this.#inFlight += 1;
    return true;
  }

  /** Records the end of an admitted request and adapts the limit. */
  release(completion: Completion, now: number): void {
    const wasUtilized = this.#inFlight * 2 >= this.limit;
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    if (completion.outcome === 'ignored') return;
    if (completion.outcome === 'overloaded') {
      this.#decrease(OVERLOAD_DECREASE, completion.latencyMs, now);
      return;
    }
    const latencyMs = Math.max(this.#noiseMs, completion.latencyMs);
    this.#recordLatency(latencyMs, now);
    const isCongested = latencyMs > this.#minimumMs * this.#tolerance;
    if (isCongested) this.#decrease(CONGESTION_DECREASE, completion.latencyMs, now);
    else if (wasUtilized) this.#increase();
  }

  /** Restarts from a low limit with slow start after the endpoint was ejected. */
  resetAfterEjection(): void {
    this.#slowStartThreshold = Math.max(this.#floor, this.#limit / 2);
    this.#limit = this.#clamp(Math.min(this.#initial, this.#limit));
    this.#minimumMs = Infinity;
    this.#windowMinimumMs = Infinity;
    this.#windowEnd = -Infinity;
  }

  #increase(): void {
    const step = this.#limit < this.#slowStartThreshold ? 1 : 1 / this.#limit;
    this.#limit = this.#clamp(this.#limit + step);
  }

  #decrease(factor: number, latencyMs: number, now: number): void {
    if (now < this.#nextDecreaseAt) return;
    this.#slowStartThreshold = this.#clamp(this.#limit / 2);
    this.#limit = this.#clamp(this.#limit * factor);
    this.#nextDecreaseAt = now + latencyMs;
  }

  #recordLatency(latencyMs: number, now: number): void {
    if (now >= this.#windowEnd) this.#startWindow(now);
    this.#windowMinimumMs = Math.min(this.#windowMinimumMs, latencyMs);
    this.#minimumMs = Math.min(this.#minimumMs, latencyMs);
  }

  #startWindow(now: number): void {
    const hasRisen = this.#windowMinimumMs > this.#minimumMs * MAX_MINIMUM_RISE;
    if (Number.isFinite(this.#windowMinimumMs)) {
      this.#minimumMs = this.#windowMinimumMs;
      if (hasRisen) this.#limit = this.#clamp(this.#limit * MINIMUM_RISE_DECREASE);
    }
    this.#windowMinimumMs = Infinity;
    this.#windowEnd = now + this.#windowMs;
  }

  #clamp(limit: number): number {
    return Math.min(this.#ceiling, Math.max(this.#floor, limit));
  }
}
