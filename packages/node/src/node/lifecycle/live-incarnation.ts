import type { Incarnation } from '@ragwortrudder/core';

/**
 * Current incarnation of this node. It is replaced when peers have declared the current one dead.
 */
export class LiveIncarnation {
  #current: Incarnation;

  constructor(first: Incarnation) {
    this.#current = first;
  }

  /** Incarnation that owns new requests. */
  get current(): Incarnation {
    return this.#current;
  }

  /** True if `other` is the current incarnation of this node. */
  matches(other: Incarnation): boolean {
    return other.nodeId === this.#current.nodeId && other.number === this.#current.number;
  }

  /**
   * Continues as incarnation `number`. Requests of the earlier incarnation remain owned by its
   * number.
   */
  renew(number: number): void {
    this.#current = { nodeId: this.#current.nodeId, number };
  }
}
