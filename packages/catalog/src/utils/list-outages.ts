import type { Clock } from '@ragwortrudder/core';

interface ListOutagesOptions {
  readonly clock: Clock;
  /** Interval at which entries are renewed, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time after an outage within which live runners are listed again, in milliseconds. */
  readonly gracePeriodMs: number;
}

/**
 * Heartbeats that an outage lasts at least before entries expire in it: an entry expires after three
 * heartbeats without renewal, and was renewed up to one heartbeat before the outage.
 */
const HEARTBEATS_TO_EXPIRY = 2;

/**
 * Tells whether an entry that is missing in a list of runners may have expired because the list could
 * not be written. A list that was read in between long enough ago was not away for that long, whatever
 * single reads failed.
 */
export class ListOutages {
  readonly #options: ListOutagesOptions;
  #readAt: number | undefined;
  #failedSince: number | undefined;
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
    const { clock, heartbeatMs } = this.#options;
    const now = clock.monotonic();
    const unreadMs = now - (this.#readAt ?? now);
    this.#readAt = now;
    this.#failedSince = undefined;
    if (unreadMs >= HEARTBEATS_TO_EXPIRY * heartbeatMs) this.#startGracePeriod();
  }

  /** Records that the list was restored from an older copy, which lacks entries. */
  recordRestore(): void {
    this.#startGracePeriod();
  }

  /** A missing entry may still come back; the period goes on while the list cannot be read in it. */
  get isInGracePeriod(): boolean {
    const isFailing = this.#failedSince !== undefined && this.#failedSince < this.#graceEndsAt;
    return isFailing || this.#options.clock.monotonic() < this.#graceEndsAt;
  }

  #startGracePeriod(): void {
    const { clock, gracePeriodMs } = this.#options;
    this.#graceEndsAt = clock.monotonic() + gracePeriodMs;
  }
}
