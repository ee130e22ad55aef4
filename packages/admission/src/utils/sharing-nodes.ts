import type { Clock } from '@ragwortrudder/core';

interface HeardNodes {
  /** Nodes that are heard, including this one. */
  readonly reachable: readonly string[];
  /** Nodes that are known, including this one. */
  readonly known: readonly string[];
  /** This node has read which nodes there are. */
  readonly isRegistered: boolean;
}

/**
 * Time for which a node that disappeared without leaving keeps its share, in milliseconds. It may be on
 * the other side of a partition and go on sending.
 */
const ABSENT_MS = 300_000;
const MAX_ABSENT = 256;

/**
 * Nodes among which a limit is divided. All sides of a partition divide it among the same nodes, so that
 * the shares of those that are not heard stay unused. A node that was heard until it disappeared has said
 * that it leaves, and gives up its share at once.
 */
export class SharingNodes {
  readonly #clock: Clock;
  /** Nodes that disappeared without leaving, and when. */
  readonly #absent = new Map<string, number>();
  #last: HeardNodes = { reachable: [], known: [], isRegistered: false };
  #hasHeardMost = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** All nodes that have a share. */
  get ids(): readonly string[] {
    return [...this.#last.known, ...this.#absent.keys()];
  }

  /**
   * Most of the known nodes have been heard since this node started, so that they know it. One that has
   * started within the smaller part of a partition has no share: its peers elsewhere do not know it.
   */
  get hasHeardMost(): boolean {
    return this.#hasHeardMost;
  }

  /** Records which nodes are heard and known now; called several times a second. */
  update(nodes: HeardNodes): void {
    const now = this.#clock.monotonic();
    const known = new Set(nodes.known);
    const heardBefore = new Set(this.#last.reachable);
    for (const id of this.#last.known) {
      if (!known.has(id) && !heardBefore.has(id)) this.#absent.set(id, now);
    }
    for (const [id, since] of this.#absent) {
      if (known.has(id) || now - since >= ABSENT_MS) this.#absent.delete(id);
    }
    const [oldest] = this.#absent.keys();
    if (this.#absent.size > MAX_ABSENT && oldest !== undefined) this.#absent.delete(oldest);
    const { reachable, isRegistered } = nodes;
    this.#hasHeardMost ||= isRegistered && 2 * reachable.length > known.size;
    this.#last = nodes;
  }
}
