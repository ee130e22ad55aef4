import type { Clock } from '@ragwortrudder/core';
import { QuotaLane } from './quota-lane.ts';

interface QuotaLimit {
  /** Refill per second. */
  readonly perSecond: number;
  /** Size of the bucket. */
  readonly burst: number;
}

interface SharedQuotaOptions {
  /**
   * Length of the windows in which the limits hold, in milliseconds: use before the start of this node
   * counts for so long.
   * @default 0
   */
  readonly windowMs?: number | undefined;
  /**
   * Time until this node hears of the use of its peers, in milliseconds; 0 where the tolerance of the
   * limits covers what they take meanwhile.
   * @default 0
   */
  readonly delayMs?: (() => number) | undefined;
  /**
   * Number of nodes that share the buckets, including this one.
   * @default 1
   */
  readonly nodeCount?: (() => number) | undefined;
}

interface Bucket {
  readonly limit: QuotaLimit;
  /** Tokens left if nothing was used before this node started. */
  readonly level: number;
  /** Tokens left if everything was used before, as far as no peer has told otherwise. */
  readonly cautiousLevel: number;
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
  /** Tokens that the node's own part of the refill allows; undefined where that is not in force. */
  readonly laneCredit: number | undefined;
}

const MS_PER_S = 1000;

/**
 * Token buckets shared by several nodes. Each node keeps a copy of every bucket and deducts the
 * usage of its own requests and the usage that its peers report. While some peers are unreachable,
 * a node refills only the share of the bucket that belongs to itself and the peers whose reports it
 * receives, so that all sides of a partition together stay within the limit. A node that has just
 * started does not know what was used before: for a window it admits what has been refilled since
 * its start, and what its peers know to be left. A node that hears of its peers late admits by its
 * own part of the refill while they may have taken what is left.
 */
export class SharedQuota {
  readonly #clock: Clock;
  readonly #windowMs: number;
  readonly #startedAt: number;
  readonly #delayMs: () => number;
  readonly #nodeCount: () => number;
  readonly #lanes = new Map<string, QuotaLane>();
  readonly #buckets = new Map<string, Bucket>();
  readonly #taken = new Map<string, number>();
  /** Use of peers that was deducted since the first of the answers that are being applied. */
  readonly #deducted = new Map<string, number>();
  #share = 1;

  constructor(clock: Clock, options: SharedQuotaOptions = {}) {
    const { windowMs = 0, delayMs = () => 0, nodeCount = () => 1 } = options;
    this.#clock = clock;
    this.#nodeCount = nodeCount;
    this.#windowMs = windowMs;
    this.#delayMs = delayMs;
    this.#startedAt = clock.monotonic();
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
      this.#buckets.set(name, limited(bucket, bucket.limit.burst * share));
    }
  }

  /** Use before the start of this node still counts. */
  get isCautious(): boolean {
    return this.#cautiousMs > 0;
  }

  /** What this node believes to be left in each bucket. */
  get levels(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#buckets].map(([name, bucket]) => [name, this.#levelOf(this.#refilled(bucket))]),
    );
  }

  /**
   * Replaces the limits; a new bucket starts with the current share of its burst, less what may have been
   * used before this node started. Returns the names of the new buckets.
   */
  setLimits(limits: ReadonlyMap<string, QuotaLimit>): readonly string[] {
    const opened = [...limits.keys()].filter((name) => !this.#buckets.has(name));
    for (const name of this.#buckets.keys()) {
      if (limits.has(name)) continue;
      this.#buckets.delete(name);
      this.#lanes.delete(name);
    }
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
    const isAllowed = this.#isOpen(name, refilled);
    this.#buckets.set(name, isAllowed ? added(refilled, -cost) : refilled);
    if (isAllowed) this.#recordTaken(name, cost);
    return isAllowed;
  }

  /** Refunds the cost of a request that did not run. */
  refund(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    this.#buckets.set(name, added(bucket, cost));
    this.#recordTaken(name, -cost);
  }

  /** Deducts the usage that a peer reported; the level may fall below zero. */
  recordPeerUsage(name: string, cost: number): void {
    const bucket = this.#buckets.get(name);
    if (!bucket) return;
    const refilled = this.#refilled(bucket);
    this.#laneOf(name, refilled).recordOthers(cost);
    this.#buckets.set(name, added(refilled, -cost));
    if (this.isCautious) this.#deducted.set(name, (this.#deducted.get(name) ?? 0) + cost);
  }

  /**
   * Applies an answer of a peer: what it believes to be left, without what this node has taken and without
   * what this node has deducted since the first answer. The lowest answer counts, as the others may have
   * been given before a report arrived.
   */
  recordPeerLevels(
    levels: ReadonlyMap<string, number>,
    { isFirst }: { readonly isFirst: boolean },
  ): void {
    if (isFirst) this.#deducted.clear();
    for (const [name, level] of levels) {
      const bucket = this.#buckets.get(name);
      if (!bucket) continue;
      const refilled = this.#refilled(bucket);
      const used = (this.#taken.get(name) ?? 0) + (this.#deducted.get(name) ?? 0);
      const left = Math.min(level - used, bucket.limit.burst * this.#share);
      const { cautiousLevel } = refilled;
      this.#buckets.set(name, {
        ...refilled,
        level: Math.max(refilled.level, left),
        cautiousLevel: isFirst ? Math.max(cautiousLevel, left) : Math.min(cautiousLevel, left),
      });
    }
  }

  /** What this node believes of a bucket; undefined for names without a limit. */
  stateOf(name: string): QuotaState | undefined {
    const bucket = this.#buckets.get(name);
    if (!bucket) return undefined;
    const refilled = this.#refilled(bucket);
    return {
      level: this.#levelOf(refilled),
      share: this.#share,
      taken: this.#taken.get(name) ?? 0,
      laneCredit: this.#laneInForce(name, refilled)?.credit,
    };
  }

  /**
   * Time in milliseconds until a bucket holds `cost`, or its full size if that is less; where a lane is
   * in force, until that allows a request.
   */
  waitMs(name: string, cost: number): number {
    const bucket = this.#buckets.get(name);
    if (!bucket) return 0;
    const refilled = this.#refilled(bucket);
    const lane = this.#laneInForce(name, refilled);
    if (lane) return lane.waitMs;
    const { level, cautiousLevel, limit } = refilled;
    const wanted = Math.min(cost, limit.burst * this.#share);
    const perSecond = Math.max(1, limit.perSecond * this.#share);
    const waitFrom = (from: number): number =>
      Math.max(0, ((wanted - from) * MS_PER_S) / perSecond);
    return Math.max(waitFrom(level), Math.min(waitFrom(cautiousLevel), this.#cautiousMs));
  }

  /** Time for which use before the start of this node still counts, in milliseconds. */
  get #cautiousMs(): number {
    return Math.max(0, this.#startedAt + this.#windowMs - this.#clock.monotonic());
  }

  #recordTaken(name: string, cost: number): void {
    this.#taken.set(name, (this.#taken.get(name) ?? 0) + cost);
    this.#lanes.get(name)?.recordOwn(cost);
  }

  #isOpen(name: string, bucket: Bucket): boolean {
    const lane = this.#laneInForce(name, bucket);
    return (lane ? lane.credit : this.#levelOf(bucket)) > 0;
  }

  /** This node's own part of the refill, where that bounds what it admits. */
  #laneInForce(name: string, bucket: Bucket): QuotaLane | undefined {
    const lane = this.#laneOf(name, bucket);
    return lane.isInForce(this.#laneBucketOf(bucket), this.#delayMs()) ? lane : undefined;
  }

  /** The lane of a bucket, up to date. */
  #laneOf(name: string, bucket: Bucket): QuotaLane {
    const now = this.#clock.monotonic();
    const assumedPerSecond = this.isCautious ? bucket.limit.perSecond : 0;
    const lane = this.#lanes.get(name) ?? new QuotaLane(now, assumedPerSecond);
    this.#lanes.set(name, lane);
    lane.advance(now, this.#laneBucketOf(bucket));
    return lane;
  }

  /** The part of a bucket that belongs to this node and the peers that it hears. */
  #laneBucketOf(bucket: Bucket) {
    const { perSecond, burst } = bucket.limit;
    return {
      perSecond: perSecond * this.#share,
      burst: burst * this.#share,
      level: this.#levelOf(bucket),
      nodeCount: this.#nodeCount(),
    };
  }

  #levelOf({ level, cautiousLevel }: Bucket): number {
    return this.isCautious ? Math.min(level, cautiousLevel) : level;
  }

  #setLimit(name: string, limit: QuotaLimit): void {
    const now = this.#clock.monotonic();
    const existing = this.#buckets.get(name);
    const maxLevel = limit.burst * this.#share;
    const bucket = existing
      ? this.#refilled(existing)
      : {
          level: maxLevel,
          cautiousLevel: ((now - this.#startedAt) * limit.perSecond * this.#share) / MS_PER_S,
        };
    this.#buckets.set(name, { ...limited(bucket, maxLevel), limit, refilledAt: now });
  }

  #refilled(bucket: Bucket): Bucket {
    const now = this.#clock.monotonic();
    const { limit, refilledAt } = bucket;
    const maxLevel = limit.burst * this.#share;
    const refill = ((now - refilledAt) * limit.perSecond * this.#share) / MS_PER_S;
    const refilledFrom = (from: number): number =>
      Math.min(Math.max(from, maxLevel), from + refill);
    return {
      limit,
      level: refilledFrom(bucket.level),
      cautiousLevel: refilledFrom(bucket.cautiousLevel),
      refilledAt: now,
    };
  }
}

type Levels = Pick<Bucket, 'level' | 'cautiousLevel'>;

function added<T extends Levels>(bucket: T, tokens: number): T {
  const { level, cautiousLevel } = bucket;
  return { ...bucket, level: level + tokens, cautiousLevel: cautiousLevel + tokens };
}

function limited<T extends Levels>(bucket: T, maxLevel: number): T {
  const { level, cautiousLevel } = bucket;
  return {
    ...bucket,
    level: Math.min(level, maxLevel),
    cautiousLevel: Math.min(cautiousLevel, maxLevel),
  };
}
