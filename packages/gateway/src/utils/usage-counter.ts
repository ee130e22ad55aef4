import type { UsageReport } from '../types/usage-report.ts';

/** Windows that are kept: those whose report may still be due. */
const KEPT_WINDOWS = 6;

/** Requests that runners began to run, by window and team: this node's and what peers told of theirs. */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #own = new Map<number, Map<string, number>>();
  readonly #peers = new Map<string, ReadonlyMap<number, ReadonlyMap<string, number>>>();

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** This node's counts. */
  get own(): ReadonlyMap<number, ReadonlyMap<string, number>> {
    return this.#own;
  }

  windowAt(wallMs: number): number {
    return Math.floor(wallMs / this.#windowMs);
  }

  /** Counts a request that began to run at `wallMs`. */
  began(team: string, wallMs: number): void {
    const window = this.windowAt(wallMs);
    const counts = this.#own.get(window) ?? new Map<string, number>();
    counts.set(team, (counts.get(team) ?? 0) + 1);
    this.#own.set(window, counts);
    for (const old of this.#own.keys()) if (old < window - KEPT_WINDOWS) this.#own.delete(old);
  }

  /** Replaces what one life of a peer told; windows that it no longer tells are kept. */
  setPeer(peerLife: string, told: ReadonlyMap<number, ReadonlyMap<string, number>>): void {
    const newest = Math.max(0, ...told.keys());
    const known = this.#peers.get(peerLife) ?? new Map<number, ReadonlyMap<string, number>>();
    const kept = [...known].filter(([window]) => window >= newest - KEPT_WINDOWS);
    this.#peers.set(peerLife, new Map([...kept, ...told]));
  }

  /** Sum of all counts of a window. */
  reportOf(window: number): UsageReport {
    const counts = new Map<string, number>(this.#own.get(window));
    for (const told of this.#peers.values()) {
      for (const [team, count] of told.get(window) ?? []) {
        counts.set(team, (counts.get(team) ?? 0) + count);
      }
    }
    return { window, counts: Object.fromEntries([...counts].toSorted()) };
  }
}
