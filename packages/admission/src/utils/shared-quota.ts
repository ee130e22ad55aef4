import type { Clock } from '@ragwortrudder/core';

interface QuotaLimit {
  /** Refill per second. */
  readonly perSecond: number;
  /** Size of the bucket. */
  readonly burst: number;
}

interface Bucket {
  readonly limit: QuotaLimit;
  readonly level: number;
  readonly refilledAt: number;
}

/** What a node believes of a bucket. */
interface QuotaState {
  /** Tokens in the node's copy of the bucket; negative when overdrawn. */
  readonly level: number;
  /** Fraction of the bucket that the node and its reachable peers may use. */
  readonly share: number;
  /** Tokens that the node itself took since it started, minus refunds. */
  readonly taken: number;
}

const MS_PER_S = 1000;

/**
 * Token buckets shared by several nodes. Each node keeps a copy of every bucket and deducts the
 * usage of its own requests and the usage that its peers report. While some peers are unreachable,
 * a node refills only the share of the bucket that belongs to itself and the peers whose reports it
 * receives, so that all sides of a partition together stay within the limit.
 */
export class SharedQuota {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Bucket>();
  readonly #taken = new Map<string, number>();
  #share = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Tokens that this node took from each bucket since it started, minus refunds. */
  get taken(): ReadonlyMap<string, number> {
    return this.#taken;
  }

  /** Fraction of each bucket, up to 1, that this node and its reachable peers may use. */
  get share(): number {
    return this.#share;
  }

  /** Sets the fraction of each bucket, up to 1, that this node and its reachable peers may use. */
  setShare(share: number): void {
    if (share === this.#share) return;
    for (const [name, bucket] of this.#buckets) this.#buckets.set(name, this.#refilled(bucket));
    this.#share = share;
    for (const [name, bucket] of this.#buckets) {
      const level = Math.min(bucket.level, bucket.limit.burst * share);
      this.#buckets.set(name, { ...bucket, level });
    }
  }

  /**
   * Replaces the limits; a new bucket starts with the current share of its burst. Returns the names of
   * the new buckets.
   */
  setLimits(limits: ReadonlyMap<string, QuotaLimit>): readonly string[] {
    const opened = [...limits.keys()].filter((name) => !this.#buckets.has(name));
    for (const name of this.#buckets.keys()) if (!limits.has(name)) this.#buckets.delete(name);
    for (const [name, limit] of limits) this.#setLimit(name, limit);
    return opened;
  }

  /**
   * Takes `cost` from a bucket; returns false when it is empty. A request may overdraw the bucket,
   * so that small requests do not starve large ones. Names without a limit are always allowed.
   */
  tryTake(name: string, cost: number): boolean {
    const bucket = this.#buckets.get(name);
    if (!bucket) return true;
    const refilled = this.#refilled(bucket);
    const isAllowed = refilled.level > 0;
    this.#buckets.set(name, isAllowed ? { ...refilled, level: refilled.level - cost } : refilled);
    if (isAllowed) this.#taken.set(name, (this.#taken.get(name) ?? 0) + cost);
    return isAllowed;
  }

  /** Refunds the cost of a request that did not run. */
  refund(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    this.#buckets.set(name, { ...bucket, level: bucket.level + cost });
    this.#taken.set(name, (this.#taken.get(name) ?? 0) - cost);
  }

  /** Deducts the usage that a peer reported; the level may fall below zero. */
  recordPeerUsage(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    const refilled = this.#refilled(bucket);
    this.#buckets.set(name, { ...refilled, level: refilled.level - cost });
  }

  /** What this node believes of a bucket; undefined for names without a limit. */
  stateOf(name: string): QuotaState | undefined {
    const bucket = this.#buckets.get(name);
    if (!bucket) return undefined;
    const { level } = this.#refilled(bucket);
    return { level, share: this.#share, taken: this.#taken.get(name) ?? 0 };
  }

  /** Time in milliseconds until a bucket holds `cost`, or its full size if that is less. */
  waitMs(name: string, cost: number): number {
    const bucket = this.#buckets.get(name);
    if (!bucket) return 0;
    const { level, limit } = this.#refilled(bucket);
    const missing = Math.min(cost, limit.burst * this.#share) - level;
    return missing <= 0 ? 0 : (missing * MS_PER_S) / Math.max(1, limit.perSecond * this.#share);
  }

  #setLimit(name: string, limit: QuotaLimit): void {
    const existing = this.#buckets.get(name);
    const now = this.#clock.monotonic();
    const initialLevel = limit.burst * this.#share;
    const level = existing ? Math.min(this.#refilled(existing).level, initialLevel) : initialLevel;
    this.#buckets.set(name, { limit, level, refilledAt: now });
  }

  #refilled(bucket: Bucket): Bucket {
    const now = this.#clock.monotonic();
    const { limit, level, refilledAt } = bucket;
    const refill = ((now - refilledAt) * limit.perSecond * this.#share) / MS_PER_S;
    const maxLevel = Math.max(level, limit.burst * this.#share);
    return { limit, level: Math.min(maxLevel, level + refill), refilledAt: now };
  }
}
