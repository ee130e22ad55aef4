import type { Clock } from '@ragwortrudder/core';

interface SentWork {
  readonly at: number;
  readonly ms: number;
}

/** Work that was sent within a time before now. */
export class RecentWork {
  readonly #clock: Clock;
  #sent: readonly SentWork[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that work was sent, in milliseconds of a runner's time. */
  add(ms: number): void {
    this.#sent = [...this.#sent, { at: this.#clock.monotonic(), ms }];
  }

  /** Work sent in the last `periodMs`, in milliseconds; older work is dropped. */
  within(periodMs: number): number {
    const since = this.#clock.monotonic() - periodMs;
    this.#sent = this.#sent.filter(({ at }) => at > since);
    return this.#sent.reduce((sum, { ms }) => sum + ms, 0);
  }
}
