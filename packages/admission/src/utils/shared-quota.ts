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

const MS_PER_S = 1000;

/**
 * Token buckets that several nodes draw from. Each node keeps a copy of every bucket, draws from it
 * for its own requests and for those that its peers report. While peers are silent a node refills
 * only the part of the bucket that belongs to itself and the peers that it hears, so that all parts
 * of a partition together stay within the limit.
 */
export class SharedQuota {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, Bucket>();
  readonly #taken = new Map<string, number>();
  #share = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** What this node drew from each bucket since its start. */
  get taken(): ReadonlyMap<string, number> {
    return this.#taken;
  }

  /** Sets the part of each bucket, up to 1, that this node and the peers that it hears may use. */
  setShare(share: number): void {
    if (share === this.#share) return;
    for (const [name, bucket] of this.#buckets) this.#buckets.set(name, this.#refilled(bucket));
    this.#share = share;
    for (const [name, bucket] of this.#buckets) {
      const level = Math.min(bucket.level, bucket.limit.burst * share);
      this.#buckets.set(name, { ...bucket, level });
    }
  }

  /** Puts limits in force; a bucket that is new starts with the node's share of its burst. */
  setLimits(limits: ReadonlyMap<string, QuotaLimit>): void {
    for (const name of this.#buckets.keys()) if (!limits.has(name)) this.#buckets.delete(name);
    for (const [name, limit] of limits) this.#put(name, limit);
  }

  /**
   * Draws `cost` from a bucket; false when it is empty. A request may overdraw it, so that small ones
   * do not shut large ones out. Names without a limit are always allowed.
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

  /** Gives back what a request drew that did not run. */
  giveBack(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    this.#buckets.set(name, { ...bucket, level: bucket.level + cost });
    this.#taken.set(name, (this.#taken.get(name) ?? 0) - cost);
  }

  /** Draws what a peer reports to have drawn; the bucket may fall below zero. */
  takenByPeer(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    const refilled = this.#refilled(bucket);
    this.#buckets.set(name, { ...refilled, level: refilled.level - cost });
  }

  /** Time until a bucket holds `cost`, in milliseconds. */
  waitMs(name: string, cost: number): number {
    const bucket = this.#buckets.get(name);
    if (!bucket) return 0;
    const { level, limit } = this.#refilled(bucket);
    const missing = Math.min(cost, limit.burst * this.#share) - level;
    return missing <= 0 ? 0 : (missing * MS_PER_S) / Math.max(1, limit.perSecond * this.#share);
  }

  #put(name: string, limit: QuotaLimit): void {
    const known = this.#buckets.get(name);
    const now = this.#clock.monotonic();
    const start = limit.burst * this.#share;
    const level = known ? Math.min(this.#refilled(known).level, start) : start;
    this.#buckets.set(name, { limit, level, refilledAt: now });
  }

  #refilled(bucket: Bucket): Bucket {
    const now = this.#clock.monotonic();
    const { limit, level, refilledAt } = bucket;
    const gained = ((now - refilledAt) * limit.perSecond * this.#share) / MS_PER_S;
    const cap = Math.max(level, limit.burst * this.#share);
    return { limit, level: Math.min(cap, level + gained), refilledAt: now };
  }
}
