import type { Random } from '@ragwortrudder/core';

/** Upper bound on the accumulated unused budget, as a multiple of one message's budget. */
const MAX_CREDIT_MESSAGES = 8;

type GossipOrder = 'least-sent' | 'newest';

/**
 * Selects the updates that the next message carries; each is sent a limited number of times. The order is either
 * least-sent first, or newest first where freshness matters more than delivering every update.
 */
export class GossipQueue {
  readonly #sendCounts = new Map<string, number>();
  readonly #random: Random;
  readonly #order: GossipOrder;
  #credit = 0;

  constructor(random: Random, order: GossipOrder) {
    this.#random = random;
    this.#order = order;
  }

  /** Number of queued updates. */
  get length(): number {
    return this.#sendCounts.size;
  }

  /** Adds an update; if the key is queued already, its send count restarts at zero. */
  add(key: string): void {
    this.#sendCounts.delete(key);
    this.#sendCounts.set(key, 0);
  }

  delete(key: string): void {
    this.#sendCounts.delete(key);
  }

  /**
   * Returns the keys that one message carries. An update larger than `budget` is held back until enough unused
   * budget has accumulated, so that the average size stays within `budget`.
   */
  take(budget: number, maxSends: number, sizeOf: (key: string) => number): readonly string[] {
    this.#credit = Math.min(this.#credit + budget, budget * MAX_CREDIT_MESSAGES);
    const selected: string[] = [];
    for (const key of this.#ordered()) {
      const size = sizeOf(key);
      if (size > this.#credit && this.#credit < budget * MAX_CREDIT_MESSAGES) break;
      this.#credit -= size;
      selected.push(key);
      this.#recordSend(key, maxSends);
    }
    return selected;
  }

  #ordered(): readonly string[] {
    if (this.#order === 'newest') return [...this.#sendCounts.keys()].reverse();
    const keyed = [...this.#sendCounts].map(([key, sent]) => ({
      key,
      order: sent + this.#random.next(),
    }));
    return keyed.sort((a, b) => a.order - b.order).map(({ key }) => key);
  }

  #recordSend(key: string, maxSends: number): void {
    const sent = (this.#sendCounts.get(key) ?? 0) + 1;
    if (sent >= maxSends) this.#sendCounts.delete(key);
    else this.#sendCounts.set(key, sent);
  }
}
