type Settled<T> =
  | { readonly isFulfilled: true; readonly value: T }
  | { readonly isFulfilled: false; readonly error: unknown };

/** Yields the results of promises in the order in which they settle; others may be added meanwhile. */
export class CompletionQueue<T> {
  readonly #settled: Settled<T>[] = [];
  #wake: () => void = () => undefined;

  add(promise: Promise<T>): void {
    promise.then(
      (value) => {
        this.#push({ isFulfilled: true, value });
      },
      (error: unknown) => {
        this.#push({ isFulfilled: false, error });
      },
    );
  }

  /** Settles like the promise that settles next. */
  async next(): Promise<T> {
    for (;;) {
      const settled = this.#settled.shift();
      if (settled?.isFulfilled) return settled.value;
      if (settled) throw settled.error;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  #push(settled: Settled<T>): void {
    this.#settled.push(settled);
    this.#wake();
  }
}
