import type { RetryBudgetOptions } from '../types/retry-budget-options.ts';
import type { RetryBudgetKey } from '../types/retry-budget-key.ts';

const DEFAULT_RATIO = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.2;
const DEFAULT_BURST = 10;
const MS_PER_S = 1000;

interface Bucket {
  readonly tokens: number;
  readonly refilledAt: number;
}

function bucketKeyOf(key: RetryBudgetKey): string {
  return `${key.class} ${key.endpoint}`;
}

/**
 * Token buckets, one for each endpoint and class, that limit retries and hedges to a fraction of
 * the first attempts, with a small floor so that infrequent requests can be retried too.
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

  /** Changes the floor and the burst, for a budget shared by a varying number of nodes. */
  setAllowance({ floorPerSecond, burst }: Required<Omit<RetryBudgetOptions, 'ratio'>>): void {
    this.#floorPerSecond = floorPerSecond;
    this.#burst = burst;
  }

  /** Records a first attempt, which adds to the budget. */
  recordFirstAttempt(key: RetryBudgetKey, now: number): void {
    this.#setTokens(key, this.#refilled(key, now) + this.#ratio, now);
  }

  /** Returns whether the budget allows a retry or hedge. */
  canSpend(key: RetryBudgetKey, now: number): boolean {
    return this.#refilled(key, now) >= 1;
  }

  /** Deducts one retry or hedge from the budget; returns false when it is exhausted. */
  trySpend(key: RetryBudgetKey, now: number): boolean {
    const tokens = this.#refilled(key, now);
    const isAllowed = tokens >= 1;
    this.#setTokens(key, isAllowed ? tokens - 1 : tokens, now);
    return isAllowed;
  }

  /** Removes the buckets of an endpoint that no longer exists. */
  removeEndpoint(endpoint: string): void {
    this.#buckets.delete(bucketKeyOf({ endpoint, class: 'interactive' }));
    this.#buckets.delete(bucketKeyOf({ endpoint, class: 'batch' }));
  }

  #refilled(key: RetryBudgetKey, now: number): number {
    const bucket = this.#buckets.get(bucketKeyOf(key));
    if (!bucket) return 1;
    return bucket.tokens + ((now - bucket.refilledAt) * this.#floorPerSecond) / MS_PER_S;
  }

  #setTokens(key: RetryBudgetKey, tokens: number, now: number): void {
    this.#buckets.set(bucketKeyOf(key), { tokens: Math.min(this.#burst, tokens), refilledAt: now });
  }
}
