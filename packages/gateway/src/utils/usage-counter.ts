import type { UsageCheckpoint } from '../types/usage-checkpoint.ts';
import type { UsageReport } from '../types/usage-report.ts';

type WindowCounts = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** Number of past windows that are kept: their reports may still be pending. */
const KEPT_WINDOWS = 6;

/** Counts requests that started executing, by window and team, for this node and its peers. */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #ownIncarnation: string;
  readonly #own = new Map<number, Map<string, number>>();
  readonly #peers = new Map<string, WindowCounts>();

  /** `ownIncarnation` identifies the current incarnation of this node among the counted ones. */
  constructor(windowMs: number, ownIncarnation = '') {
    this.#windowMs = windowMs;
    this.#ownIncarnation = ownIncarnation;
  }

  /** Counts of this node. */
  get own(): WindowCounts {
    return this.#own;
  }

  windowAt(wallMs: number): number {
    return Math.floor(wallMs / this.#windowMs);
  }

  /** Counts a request that started executing at `wallMs`. */
  recordStart(team: string, wallMs: number): void {
    const window = this.windowAt(wallMs);
    const counts = this.#own.get(window) ?? new Map<string, number>();
    counts.set(team, (counts.get(team) ?? 0) + 1);
    this.#own.set(window, counts);
    for (const old of this.#own.keys()) if (old < window - KEPT_WINDOWS) this.#own.delete(old);
  }

  /**
   * Merges the counts of one incarnation of a peer. Counts never decrease, so the greater value is
   * the newer one.
   */
  mergePeerCounts(peerIncarnation: string, peerCounts: WindowCounts): void {
    if (peerIncarnation === this.#ownIncarnation || peerCounts.size === 0) return;
    const newest = Math.max(0, ...peerCounts.keys());
    const known =
      this.#peers.get(peerIncarnation) ?? new Map<number, ReadonlyMap<string, number>>();
    const merged = new Map([...known].filter(([window]) => window >= newest - KEPT_WINDOWS));
    for (const [window, counts] of peerCounts)
      merged.set(window, maxCounts(merged.get(window), counts));
    this.#peers.set(peerIncarnation, merged);
  }

  /** Merges a checkpoint that another node recorded for all incarnations known to it. */
  mergeCheckpoint({ lives }: UsageCheckpoint): void {
    for (const [incarnation, windows] of Object.entries(lives)) {
      const counts = Object.entries(windows).map(
        ([window, byTeam]) => [Number(window), new Map(Object.entries(byTeam))] as const,
      );
      this.mergePeerCounts(incarnation, new Map(counts));
    }
  }

  /** Checkpoint of the counts of all incarnations from window `oldest` on. */
  checkpointFrom(oldest: number): UsageCheckpoint {
    const lives = [[this.#ownIncarnation, this.#own] as const, ...this.#peers].flatMap(
      ([incarnation, counts]) => {
        const kept = [...counts].filter(([window]) => window >= oldest);
        const windows = kept.map(
          ([window, byTeam]) => [window, Object.fromEntries(byTeam)] as const,
        );
        return kept.length === 0 ? [] : [[incarnation, Object.fromEntries(windows)] as const];
      },
    );
    return { lives: Object.fromEntries(lives) };
  }

  /** Report of a window: the sum over all incarnations. */
  reportOf(window: number): UsageReport {
    const counts = new Map<string, number>(this.#own.get(window));
    for (const peerCounts of this.#peers.values()) {
      for (const [team, count] of peerCounts.get(window) ?? []) {
        counts.set(team, (counts.get(team) ?? 0) + count);
      }
    }
    return { window, counts: Object.fromEntries([...counts].toSorted()) };
  }
}

function maxCounts(
  known: ReadonlyMap<string, number> | undefined,
  peerCounts: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const merged = new Map(known);
  for (const [team, count] of peerCounts) merged.set(team, Math.max(count, merged.get(team) ?? 0));
  return merged;
}
