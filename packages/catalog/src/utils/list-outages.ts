import type { Clock } from '@ragwortrudder/core';

interface ListOutagesOptions {
  readonly clock: Clock;
  /** Interval at which entries are renewed, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time after an outage within which live runners are listed again, in milliseconds. */
  readonly gracePeriodMs: number;
}

/** Time in which a list could be read or could not, monotonic, in milliseconds. */
interface Span {
  readonly from: number;
  readonly to: number;
}

/**
 * Heartbeats that an outage lasts at least before entries expire in it: an entry expires after three
 * heartbeats without renewal, and was renewed up to one heartbeat before the outage.
 */
const HEARTBEATS_TO_EXPIRY = 2;

/**
 * Tells whether an entry that is missing in a list of runners may have expired because the list could
 * not be written. A list that was read in between, by this node or another one, was not away, whatever
 * else failed.
 */
export class ListOutages {
  readonly #options: ListOutagesOptions;
  #readAt: number | undefined;
  /** Since when this node has read the list without an outage. */
  #readableSince = Infinity;
  #failedSince: number | undefined;
  /** The last time in which this node could not read the list for so long that entries may have expired. */
  #outage: Span | undefined;
  /** The newest time in which another node has read the list without an outage. */
  #readElsewhere: Span | undefined;
  #graceEndsAt = -Infinity;

  constructor(options: ListOutagesOptions) {
    this.#options = options;
  }

  /** Records that the list could not be read. */
  recordFailure(): void {
    this.#failedSince ??= this.#options.clock.monotonic();
  }

  /** Records that the list was read. */
  recordRead(): void {
    const now = this.#options.clock.monotonic();
    const unread = { from: this.#readAt ?? now, to: now };
    this.#readAt = now;
    this.#failedSince = undefined;
    this.#readableSince = Math.min(this.#readableSince, now);
    if (unread.to - unread.from < this.#expiryMs) return;
    this.#readableSince = now;
    this.#outage = unread;
    if (!this.#wasReadElsewhere(unread)) this.#startGracePeriod();
  }

  /** Time for which this node has read the list without an outage, in milliseconds; 0 when it cannot read it. */
  get readableMs(): number {
    const now = this.#options.clock.monotonic();
    if (this.#readAt === undefined || now - this.#readAt >= this.#options.heartbeatMs) return 0;
    return Math.max(0, now - this.#readableSince);
  }

  /** Records that another node has read the list without an outage, up to now. */
  recordReadElsewhere(forMs: number): void {
    if (forMs <= 0) return;
    const now = this.#options.clock.monotonic();
    const span = { from: now - forMs, to: now };
    const known = this.#readElsewhere;
    const isRecent = known && now - known.to < this.#options.heartbeatMs;
    this.#readElsewhere = { ...span, from: isRecent ? Math.min(known.from, span.from) : span.from };
    if (this.#outage && this.#wasReadElsewhere(this.#outage)) this.#graceEndsAt = -Infinity;
  }

  /** Records that the list was restored from an older copy, which lacks entries. */
  recordRestore(): void {
    this.#outage = undefined;
    this.#startGracePeriod();
  }

  /** A missing entry may still come back; the period goes on while the list cannot be read in it. */
  get isInGracePeriod(): boolean {
    const isFailing = this.#failedSince !== undefined && this.#failedSince < this.#graceEndsAt;
    return isFailing || this.#options.clock.monotonic() < this.#graceEndsAt;
  }

  get #expiryMs(): number {
    return HEARTBEATS_TO_EXPIRY * this.#options.heartbeatMs;
  }

  /** Another node has read the list so long in an outage that no entries expired in the rest of it. */
  #wasReadElsewhere({ from, to }: Span): boolean {
    const read = this.#readElsewhere;
    if (!read) return false;
    const unreadMs = Math.max(0, read.from - from) + Math.max(0, to - read.to);
    // Its last read may have been a heartbeat ago.
    return unreadMs + this.#options.heartbeatMs < this.#expiryMs;
  }

  #startGracePeriod(): void {
    const { clock, gracePeriodMs } = this.#options;
    this.#graceEndsAt = clock.monotonic() + gracePeriodMs;
  }
}
