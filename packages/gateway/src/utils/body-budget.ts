import type { BodyHolder } from '../types/body-holder.ts';

interface BodyBudgetOptions {
  /** Memory that the bodies of all requests may take together, in bytes. */
  readonly totalBytes: number;
}

/**
 * Bounds the memory that the bodies of requests take together. When it is used up, the largest body that
 * is still arriving is given up: its request has not run, and small ones are served on.
 */
export class BodyBudget {
  readonly #options: BodyBudgetOptions;
  readonly #arriving = new Map<BodyHolder, number>();
  readonly #whole = new Map<BodyHolder, number>();
  #usedBytes = 0;

  constructor(options: BodyBudgetOptions) {
    this.#options = options;
  }

  /** Memory that is taken now, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Accounts for the memory of a body that is arriving; evicts bodies if all of them take too much. */
  grow(holder: BodyHolder, heldBytes: number): void {
    this.#usedBytes += heldBytes - (this.#arriving.get(holder) ?? 0);
    this.#arriving.set(holder, heldBytes);
    while (this.#usedBytes > this.#options.totalBytes) {
      const largest = this.#largestArriving();
      if (!largest) return;
      this.remove(largest);
      largest.evict();
    }
  }

  /** The body has arrived completely; its memory is held until the request is answered. */
  complete(holder: BodyHolder): void {
    const heldBytes = this.#arriving.get(holder);
    if (heldBytes === undefined) return;
    this.#arriving.delete(holder);
    this.#whole.set(holder, heldBytes);
  }

  remove(holder: BodyHolder): void {
    this.#usedBytes -= this.#arriving.get(holder) ?? this.#whole.get(holder) ?? 0;
    this.#arriving.delete(holder);
    this.#whole.delete(holder);
  }

  #largestArriving(): BodyHolder | undefined {
    let largest: BodyHolder | undefined;
    let largestBytes = 0;
    for (const [holder, heldBytes] of this.#arriving) {
      if (heldBytes <= largestBytes) continue;
      largest = holder;
      largestBytes = heldBytes;
    }
    return largest;
  }
}
