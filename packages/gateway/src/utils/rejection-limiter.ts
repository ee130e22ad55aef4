import type { Clock } from '@ragwortrudder/core';

/** Sources of rejected input that are remembered; the oldest are forgotten first. */
const MAX_SOURCES = 4_096;
/** Lines about rejected input in one period. */
const MAX_LINES = 60;
const PERIOD_MS = 60_000;

interface LoggedRejection {
  readonly cause: string;
  readonly at: number;
}

/**
 * Decides which rejections are logged: one line for each source and cause, at most one a minute for a
 * source whose causes change, and few lines at a time.
 */
export class RejectionLimiter {
  readonly #clock: Clock;
  /** Rejection that was logged last, by source. */
  readonly #logged = new Map<string, LoggedRejection>();
  #period = -1;
  #lines = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether a rejection is to be logged now. */
  mustLog(source: string, cause: string): boolean {
    const now = this.#clock.monotonic();
    const known = this.#logged.get(source);
    if (known && (known.cause === cause || now - known.at < PERIOD_MS)) return false;
    const period = Math.floor(now / PERIOD_MS);
    if (period !== this.#period) this.#lines = 0;
    this.#period = period;
    if (this.#lines >= MAX_LINES) return false;
    this.#lines += 1;
    this.#logged.delete(source);
    this.#logged.set(source, { cause, at: now });
    if (this.#logged.size > MAX_SOURCES) {
      const [oldest] = this.#logged.keys();
      if (oldest !== undefined) this.#logged.delete(oldest);
    }
    return true;
  }

  /** Records that a source has sent something sound, so that its next rejection is logged again. */
  recordSound(source: string): void {
    if (this.#logged.size > 0) this.#logged.delete(source);
  }
}
