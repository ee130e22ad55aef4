import type { Clock } from '@ragwortrudder/core';

interface Entry<T> {
  readonly at: number;
  readonly value: T;
}

/** Value whose readers see its state of some time ago. */
export class LaggingValue<T> {
  readonly #clock: Clock;
  readonly #lagMs: number;
  /** Newest state that readers see. */
  #seen: T;
  /** States that readers do not see yet, oldest first. */
  #pending: readonly Entry<T>[] = [];

  constructor(initial: T, lagMs: number, clock: Clock) {
    this.#clock = clock;
    this.#lagMs = lagMs;
    this.#seen = initial;
  }

  /** Sets the value; readers see it after the lag. */
  set(value: T): void {
    this.#settle();
    this.#pending = [...this.#pending, { at: this.#clock.monotonic(), value }];
  }

  /** Changes every state of the value, so that readers see the change at once. */
  setAtOnce(change: (value: T) => T): void {
    this.#seen = change(this.#seen);
    this.#pending = this.#pending.map(({ at, value }) => ({ at, value: change(value) }));
  }

  /** Value as readers see it. */
  get(): T {
    this.#settle();
    return this.#seen;
  }

  /** Value without lag. */
  latest(): T {
    const newest = this.#pending.at(-1);
    return newest ? newest.value : this.#seen;
  }

  #settle(): void {
    const visibleUntil = this.#clock.monotonic() - this.#lagMs;
    const newest = this.#pending.findLast((entry) => entry.at <= visibleUntil);
    if (!newest) return;
    this.#seen = newest.value;
    this.#pending = this.#pending.filter((entry) => entry.at > visibleUntil);
  }
}
