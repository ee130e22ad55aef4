import type { Incarnation } from '@ragwortrudder/core';

/** Incarnation of this node, which changes when the others have declared the present one dead. */
export class LiveIncarnation {
  #current: Incarnation;

  constructor(first: Incarnation) {
    this.#current = first;
  }

  /** The incarnation under which new requests are owned. */
  get current(): Incarnation {
    return this.#current;
  }

  /** Tells whether `other` is the present incarnation of this node. */
  is(other: Incarnation): boolean {
    return other.nodeId === this.#current.nodeId && other.number === this.#current.number;
  }

  /** Continues as incarnation `number`; what the earlier one owned stays under the earlier number. */
  renew(number: number): void {
    this.#current = { nodeId: this.#current.nodeId, number };
  }
}
