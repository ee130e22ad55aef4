import type { RetryBudgetOptions } from '../types/retry-budget-options.ts';
import type { RetryKey } from '../types/retry-key.ts';

const DEFAULT_RATIO = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.2;
const DEFAULT_BURST = 10;
const MS_PER_S = 1000;

interface Bucket {
  readonly tokens: number;
  readonly refilledAt: number;
}

function nameOf(key: RetryKey): string {
  return `${key.class} ${key.endpoint}`;
}

/**
 * Token buckets that bound retries and hedges to a part of the first tries, for each endpoint and
 * class, with a small floor so that rare requests can be retried too.
 */
export class RetryBudget {
  readonly #ratio: number;
  #floorPerSecond: number;
  #burst: number;
  readonly #buckets = new Map<string, Bucket>();

  constructor(options: RetryBudgetOptions = {}) {
    this.#ratio = options.ratio ?? DEFAULT_RATIO;
    this.#floorPerSecond = options.floorPerSecond ?? DEFAULT_FLOOR_PER_SECOND;
    this.#burst = options.burst ?? DEFAULT_BURST;
  }

  /** Changes the floor and the burst, for a budget that is shared by a changing number of nodes. */
  setAllowance({ floorPerSecond, burst }: Required<Omit<RetryBudgetOptions, 'ratio'>>): void {
    this.#floorPerSecond = floorPerSecond;
    this.#burst = burst;
  }

  /** Notes a first try. */
  firstTry(key: RetryKey, now: number): void {
    this.#put(key, this.#refilled(key, now) + this.#ratio, now);
  }

  /** True when a retry or hedge is left in the budget. */
  canSpend(key: RetryKey, now: number): boolean {
    return this.#refilled(key, now) >= 1;
  }

  /** Takes one retry or hedge from the budget; false when it is used up. */
  trySpend(key: RetryKey, now: number): boolean {
    const tokens = this.#refilled(key, now);
    const isAllowed = tokens >= 1;
    this.#put(key, isAllowed ? tokens - 1 : tokens, now);
    return isAllowed;
  }

  /** Forgets an endpoint that is gone. */
  forget(endpoint: string): void {
    this.#buckets.delete(nameOf({ endpoint, class: 'interactive' }));
    this.#buckets.delete(nameOf({ endpoint, class: 'batch' }));
  }

  #refilled(key: RetryKey, now: number): number {
    const bucket = this.#buckets.get(nameOf(key));
    if (!bucket) return 1;
    return bucket.tokens + ((now - bucket.refilledAt) * this.#floorPerSecond) / MS_PER_S;
  }

  #put(key: RetryKey, tokens: number, now: number): void {
    this.#buckets.set(nameOf(key), { tokens: Math.min(this.#burst, tokens), refilledAt: now });
  }
}
