interface LaneBucket {
  /** Refill of the whole bucket per second. */
  readonly perSecond: number;
  /** Size of the whole bucket. */
  readonly burst: number;
  /** What is left in the bucket as far as this node knows. */
  readonly level: number;
  /** Nodes that may use the bucket, including this one. */
  readonly nodeCount: number;
}

/** Time over which use is averaged, in milliseconds. */
const AVERAGING_MS = 3_000;
/** Least part of the refill, so that a node whose callers have come just now is not left out. */
const MIN_FRACTION = 0.005;
/** Refill that a lane can save up, in milliseconds. */
const MAX_CREDIT_MS = 1_500;
/** Refill that a lane can lack, in milliseconds. */
const MAX_DEBT_MS = 3_000;
/** Part of the bucket that is left when all lanes together admit just its refill. */
const TARGET_FRACTION = 0.3;
const MAX_BOOST = 2;
/** Part of the bucket that has to be left before the lanes are no longer in force. */
const RELEASE_FRACTION = 0.95;
const MS_PER_S = 1_000;

/**
 * A node's own part of the refill of a bucket, in proportion to its part of the use. It bounds what the
 * node admits where its peers may have taken more than is left since it last heard of their use.
 */
export class QuotaLane {
  #at: number;
  /** Use of this node and of its peers, as exponentially decaying sums. */
  #own = 0;
  #others = 0;
  /** Use by all nodes that is assumed until it is heard of, decaying like theirs. */
  #assumed: number;
  #credit = 0;
  /** Refill of the lane. */
  #perMs = 0;
  #isInForce = false;

  /** `assumedPerSecond` is what all nodes may have used, in equal parts, before the lane began. */
  constructor(now: number, assumedPerSecond = 0) {
    this.#at = now;
    this.#assumed = (assumedPerSecond * AVERAGING_MS) / MS_PER_S;
  }

  /** What the lane has saved up; it allows a request while this is positive. */
  get credit(): number {
    return this.#credit;
  }

  /** Time until the lane allows a request, in milliseconds. */
  get waitMs(): number {
    if (this.#credit > 0) return 0;
    return this.#perMs > 0 ? -this.#credit / this.#perMs : MAX_DEBT_MS;
  }

  /** Records what this node takes; negative for a refund. */
  recordOwn(cost: number): void {
    this.#own = Math.max(0, this.#own + cost);
    this.#credit -= cost;
  }

  /** Records what peers have taken; negative for a refund. */
  recordOthers(cost: number): void {
    this.#others = Math.max(0, this.#others + cost);
  }

  /** Brings the lane up to date. */
  advance(now: number, { perSecond, burst, level, nodeCount }: LaneBucket): void {
    const passedMs = now - this.#at;
    this.#at = now;
    const kept = Math.exp(-passedMs / AVERAGING_MS);
    this.#own *= kept;
    this.#others *= kept;
    this.#assumed *= kept;
    const total = this.#own + this.#others + this.#assumed;
    const own = this.#own + this.#assumed / nodeCount;
    const fraction = total > 0 ? Math.max(MIN_FRACTION, own / total) : 1;
    const ownPerMs = (perSecond * fraction) / MS_PER_S;
    // All lanes slow down while the bucket is overdrawn, and use up the burst while much of it is left.
    const leftFraction = burst > 0 ? level / burst : TARGET_FRACTION;
    const boost = Math.min(MAX_BOOST, Math.max(0, 1 - TARGET_FRACTION + leftFraction));
    this.#perMs = ownPerMs * boost;
    const credit = Math.max(this.#credit, -ownPerMs * MAX_DEBT_MS) + this.#perMs * passedMs;
    this.#credit = Math.min(ownPerMs * MAX_CREDIT_MS, credit);
  }

  /**
   * Whether the lane bounds what this node admits: from when the peers may have taken all that is left
   * since they were last heard, `delayMs` ago, until the bucket is almost full again.
   */
  isInForce({ burst, level, nodeCount }: LaneBucket, delayMs: number): boolean {
    const others = this.#others + this.#assumed * (1 - 1 / nodeCount);
    const unheard = (others * delayMs) / AVERAGING_MS;
    const isShort = level <= unheard || (this.#isInForce && level < burst * RELEASE_FRACTION);
    this.#isInForce = unheard > 0 && isShort;
    return this.#isInForce;
  }
}
