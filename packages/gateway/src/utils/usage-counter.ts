import type { UsageDraft } from '../types/usage-draft.ts';
import type { UsageReport } from '../types/usage-report.ts';

type WindowCounts = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** Windows that are kept: those whose report may still be due. */
const KEPT_WINDOWS = 6;

/** Requests that runners began to run, by window and team: this node's and what peers told of theirs. */
export class UsageCounter {
  readonly #windowMs: number;
  readonly #ownLife: string;
  readonly #own = new Map<number, Map<string, number>>();
  readonly #peers = new Map<string, WindowCounts>();

  /** `ownLife` names this life of this node among those that are counted. */
  constructor(windowMs: number, ownLife = '') {
    this.#windowMs = windowMs;
    this.#ownLife = ownLife;
  }

  /** This node's counts. */
  get own(): WindowCounts {
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

  /** Takes in what one life of a peer told. Counts only rise, so the greater one is the newer one. */
  setPeer(peerLife: string, told: WindowCounts): void {
    if (peerLife === this.#ownLife) return;
    const newest = Math.max(0, ...told.keys());
    const known = this.#peers.get(peerLife) ?? new Map<number, ReadonlyMap<string, number>>();
    const joined = new Map([...known].filter(([window]) => window >= newest - KEPT_WINDOWS));
    for (const [window, counts] of told) joined.set(window, greaterOf(joined.get(window), counts));
    this.#peers.set(peerLife, joined);
  }

  /** Takes in what another node wrote down of all lives that it heard. */
  join({ lives }: UsageDraft): void {
    for (const [life, windows] of Object.entries(lives)) {
      const counts = Object.entries(windows).map(
        ([window, byTeam]) => [Number(window), new Map(Object.entries(byTeam))] as const,
      );
      this.setPeer(life, new Map(counts));
    }
  }

  /** Counts of all lives for the windows from `oldest` on. */
  draftFrom(oldest: number): UsageDraft {
    const lives = [[this.#ownLife, this.#own] as const, ...this.#peers].flatMap(
      ([life, counts]) => {
        const kept = [...counts].filter(([window]) => window >= oldest);
        const windows = kept.map(
          ([window, byTeam]) => [window, Object.fromEntries(byTeam)] as const,
        );
        return kept.length === 0 ? [] : [[life, Object.fromEntries(windows)] as const];
      },
    );
    return { lives: Object.fromEntries(lives) };
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

function greaterOf(
  known: ReadonlyMap<string, number> | undefined,
  told: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const joined = new Map(known);
  for (const [team, count] of told) joined.set(team, Math.max(count, joined.get(team) ?? 0));
  return joined;
}
