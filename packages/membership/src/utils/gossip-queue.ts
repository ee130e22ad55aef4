import type { Random } from '@ragwortrudder/core';

/** Largest multiple of a message's budget that unused budget grows to. */
const SAVED_MESSAGES = 8;

type GossipOrder = 'least-sent' | 'newest';

/**
 * Chooses which changes go with the next message, each a limited number of times: those sent least often first,
 * or the newest first when fresh changes matter more than complete ones.
 */
export class GossipQueue {
  readonly #sent = new Map<string, number>();
  readonly #random: Random;
  readonly #order: GossipOrder;
  #credit = 0;

  constructor(random: Random, order: GossipOrder) {
    this.#random = random;
    this.#order = order;
  }

  /** Number of changes still to be sent. */
  get length(): number {
    return this.#sent.size;
  }

  /** Adds a change, or starts over with one that was replaced. */
  add(key: string): void {
    this.#sent.delete(key);
    this.#sent.set(key, 0);
  }

  delete(key: string): void {
    this.#sent.delete(key);
  }

  /**
   * Returns the keys that go with one message. A change larger than `budget` waits until enough was saved,
   * so that the average size stays within it.
   */
  take(budget: number, repeats: number, sizeOf: (key: string) => number): readonly string[] {
    this.#credit = Math.min(this.#credit + budget, budget * SAVED_MESSAGES);
    const taken: string[] = [];
    for (const key of this.#ordered()) {
      const size = sizeOf(key);
      if (size > this.#credit && this.#credit < budget * SAVED_MESSAGES) break;
      this.#credit -= size;
      taken.push(key);
      this.#count(key, repeats);
    }
    return taken;
  }

  #ordered(): readonly string[] {
    if (this.#order === 'newest') return [...this.#sent.keys()].reverse();
    const keyed = [...this.#sent].map(([key, sent]) => ({
      key,
      order: sent + this.#random.next(),
    }));
    return keyed.sort((a, b) => a.order - b.order).map(({ key }) => key);
  }

  #count(key: string, repeats: number): void {
    const sent = (this.#sent.get(key) ?? 0) + 1;
    if (sent >= repeats) this.#sent.delete(key);
    else this.#sent.set(key, sent);
  }
}
