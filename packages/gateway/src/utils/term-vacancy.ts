import type { TermView } from '../types/term-view.ts';

interface TermVacancyOptions {
  readonly node: string;
  /** Minimum time between the last action of one holder and the first of the next, in milliseconds. */
  readonly leaseMs: number;
}

interface Baseline {
  readonly view: TermView;
  /** Monotonic time of the read, in milliseconds. */
  readonly at: number;
}

/** Time within which the nodes of a new deployment discover each other, in milliseconds. */
const DISCOVERY_MS = 1_000;

/**
 * Decides whether the duty term is vacant, from reads of the topic of duties alone. A holder appends to
 * the topic more often than once a lease, so a topic that has not moved for a lease has no active
 * holder. This holds also where the holder and this node do not hear each other.
 */
export class TermVacancy {
  readonly #options: TermVacancyOptions;
  #baseline: Baseline | undefined;
  #heldAt = -Infinity;

  constructor(options: TermVacancyOptions) {
    this.#options = options;
  }

  /** The topic has been read since the last reset. */
  get hasBaseline(): boolean {
    return this.#baseline !== undefined;
  }

  /** Forgets what was read: a holder is known to be active. */
  reset(): void {
    this.#baseline = undefined;
  }

  /** Records that this node held the term at `now`. */
  recordHeld(now: number): void {
    this.#heldAt = now;
    this.#baseline = undefined;
  }

  /**
   * Records a read of the topic. Returns true if another holder has appended to the topic since the
   * read before.
   */
  observe(view: TermView, now: number): boolean {
    const before = this.#baseline?.view.position;
    const { offset, era } = view.position;
    if (before?.offset === offset && before.era === era) return false;
    this.#baseline = { view, at: now };
    return before !== undefined;
  }

  /**
   * Time until this node may acquire the term, in milliseconds, if the topic does not move until then.
   * `resignedToken` is the token of the last holder that has told this node that it gave up its term.
   */
  remainingMs(now: number, resignedToken: number | undefined): number {
    const { node, leaseMs } = this.#options;
    if (!this.#baseline) return leaseMs;
    const { view, at } = this.#baseline;
    if (view.holder === undefined) return at + DISCOVERY_MS - now;
    // No node has acted after this one or its earlier incarnation.
    if (view.holder === node) return 0;
    // This node must not act again within a lease if another one has acted in between.
    const afterOwnMs = this.#heldAt + leaseMs - now;
    if (view.token === resignedToken) return Math.max(at - now, afterOwnMs);
    return Math.max(at + leaseMs - now, afterOwnMs);
  }
}
