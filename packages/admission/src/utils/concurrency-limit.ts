import type { Completion } from '../types/completion.ts';
import type { ConcurrencyLimitOptions } from '../types/concurrency-limit-options.ts';

const DEFAULT_INITIAL = 8;
const DEFAULT_FLOOR = 1;
const DEFAULT_CEILING = 256;
const DEFAULT_TOLERANCE = 2;
const DEFAULT_WINDOW_MS = 30_000;
const CONGESTION_DECREASE = 0.9;
const OVERLOAD_DECREASE = 0.7;
const PROBE_DECREASE = 0.5;
/** A rise of the windowed minimum by more than this makes the limit drop, to measure it anew. */
const MAX_MINIMUM_RISE = 1.1;

/**
 * Adaptive limit of the requests in flight at one endpoint: additive increase while latency stays
 * near its windowed minimum, multiplicative decrease once per round trip above it. After a
 * decrease or recovery it grows as in slow start up to half of what it was.
 */
export class ConcurrencyLimit {
  readonly #floor: number;
  readonly #ceiling: number;
  readonly #initial: number;
  readonly #tolerance: number;
  readonly #noiseMs: number;
  readonly #windowMs: number;
  #limit: number;
  #threshold: number;
  #inFlight = 0;
  #minimumMs = Infinity;
  #windowMinimumMs = Infinity;
  #windowEnd = -Infinity;
  #decreaseAfter = -Infinity;

  constructor(options: ConcurrencyLimitOptions = {}) {
    this.#initial = options.initial ?? DEFAULT_INITIAL;
    this.#floor = options.floor ?? DEFAULT_FLOOR;
    this.#ceiling = options.ceiling ?? DEFAULT_CEILING;
    this.#tolerance = options.tolerance ?? DEFAULT_TOLERANCE;
    this.#noiseMs = options.noiseMs ?? 0;
    this.#windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this.#limit = this.#clamp(this.#initial);
    this.#threshold = this.#ceiling;
  }

  /** Present limit. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Admits a request unless the limit is reached. */
  tryAcquire(): boolean {
    if (this.#inFlight >= this.limit) return false;
    this.#inFlight += 1;
    return true;
  }

  /** Notes the end of an admitted request. */
  release(completion: Completion, now: number): void {
    const wasUsed = this.#inFlight * 2 >= this.limit;
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    if (completion.outcome === 'ignored') return;
    if (completion.outcome === 'overloaded') {
      this.#decrease(OVERLOAD_DECREASE, completion.latencyMs, now);
      return;
    }
    const latencyMs = Math.max(this.#noiseMs, completion.latencyMs);
    this.#observe(latencyMs, now);
    const isCongested = latencyMs > this.#minimumMs * this.#tolerance;
    if (isCongested) this.#decrease(CONGESTION_DECREASE, completion.latencyMs, now);
    else if (wasUsed) this.#increase();
  }

  /** Starts again slowly after the endpoint was set aside. */
  recovered(): void {
    this.#threshold = Math.max(this.#floor, this.#limit / 2);
    this.#limit = this.#clamp(Math.min(this.#initial, this.#limit));
    this.#minimumMs = Infinity;
    this.#windowMinimumMs = Infinity;
    this.#windowEnd = -Infinity;
  }

  #increase(): void {
    const step = this.#limit < this.#threshold ? 1 : 1 / this.#limit;
    this.#limit = this.#clamp(this.#limit + step);
  }

  #decrease(factor: number, latencyMs: number, now: number): void {
    if (now < this.#decreaseAfter) return;
    this.#threshold = this.#clamp(this.#limit / 2);
    this.#limit = this.#clamp(this.#limit * factor);
    this.#decreaseAfter = now + latencyMs;
  }

  #observe(latencyMs: number, now: number): void {
    if (now >= this.#windowEnd) this.#rotate(now);
    this.#windowMinimumMs = Math.min(this.#windowMinimumMs, latencyMs);
    this.#minimumMs = Math.min(this.#minimumMs, latencyMs);
  }

  #rotate(now: number): void {
    const hasRisen = this.#windowMinimumMs > this.#minimumMs * MAX_MINIMUM_RISE;
    if (Number.isFinite(this.#windowMinimumMs)) {
      this.#minimumMs = this.#windowMinimumMs;
      if (hasRisen) this.#limit = this.#clamp(this.#limit * PROBE_DECREASE);
    }
    this.#windowMinimumMs = Infinity;
    this.#windowEnd = now + this.#windowMs;
  }

  #clamp(limit: number): number {
    return Math.min(this.#ceiling, Math.max(this.#floor, limit));
  }
}
