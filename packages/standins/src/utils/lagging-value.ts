import type { Clock } from '@ragwortrudder/core';

interface Entry<T> {
  readonly at: number;
  readonly value: T;
}

/** Value whose changes become visible to readers only after a lag. */
export class LaggingValue<T> {
  readonly #clock: Clock;
  readonly #lagMs: number;
  /** Newest state that is visible to readers. */
  #visible: T;
  /** States that are not visible yet, oldest first. */
  #pending: readonly Entry<T>[] = [];

  constructor(initial: T, lagMs: number, clock: Clock) {
    this.#clock = clock;
    this.#lagMs = lagMs;
    this.#visible = initial;
  }

  /** Sets the value; the change becomes visible after the lag. */
  set(value: T): void {
    this.#applyPending();
    this.#pending = [...this.#pending, { at: this.#clock.monotonic(), value }];
  }

  /** Applies a change to the visible and all pending states, so that it is visible immediately. */
  setImmediately(change: (value: T) => T): void {
    this.#visible = change(this.#visible);
    this.#pending = this.#pending.map(({ at, value }) => ({ at, value: change(value) }));
  }

  /** Returns the value visible to readers. */
  get(): T {
    this.#applyPending();
    return this.#visible;
  }

  /** Returns the newest value, regardless of the lag. */
  latest(): T {
    const newest = this.#pending.at(-1);
    return newest ? newest.value : this.#visible;
  }

  #applyPending(): void {
    const visibleUntil = this.#clock.monotonic() - this.#lagMs;
    const newest = this.#pending.findLast((entry) => entry.at <= visibleUntil);
    if (!newest) return;
    this.#visible = newest.value;
    this.#pending = this.#pending.filter((entry) => entry.at > visibleUntil);
  }
}
