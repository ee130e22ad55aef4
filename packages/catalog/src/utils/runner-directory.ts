import type { Clock } from '@ragwortrudder/core';
import type { RunnerBoot } from '../types/runner-boot.ts';
import type { RunnerEntry } from '../types/runner-entry.ts';
import { ListOutages } from './list-outages.ts';

interface RunnerDirectoryOptions {
  readonly clock: Clock;
  /**
   * Interval at which runners renew their entries, in milliseconds.
   * @default 1200
   */
  readonly heartbeatMs?: number | undefined;
  /**
   * Time after an outage of the list during which entries that expired meanwhile are retained, in
   * milliseconds.
   * @default 2000
   */
  readonly gracePeriodMs?: number;
  /** Called with each entry that is used, also with one that was renewed. */
  readonly onEntry?: (entry: RunnerEntry) => void;
}

/** End of a boot of a runner, which a restored list may show as if it had not come yet. */
interface Departure {
  readonly bornMs: number;
  /** The runner has said that it is leaving. */
  readonly isDraining: boolean;
  /** The entry was removed. */
  readonly isRemoved: boolean;
  readonly at: number;
}

/** Entry that may have been written before what is known of its runner. */
interface DoubtfulEntry {
  readonly entry: RunnerEntry;
  /** When the list first showed it; monotonic, in milliseconds. */
  readonly since: number;
  /** When an entry of a restored list is used although it was not written again. */
  readonly until?: number;
}

/**
 * Time after a restore for which entries that had been removed before are not used unless their
 * runners write them again, in milliseconds: a list removes entries that nobody renews by then.
 */
const RESTORED_ENTRY_DOUBT_MS = 5_000;
/** Departures that are remembered; the oldest are dropped first. */
const MAX_DEPARTURES = 4_096;
/** Time for which a departure is reported although the runner is no longer listed, in milliseconds. */
const DEPARTURE_REPORTED_MS = 10_000;
const MAX_REPORTED_DEPARTURES = 128;
const DEFAULT_HEARTBEAT_MS = 1_200;
/** Part of a heartbeat between two writes of an entry: reads see them with a delay. */
const RENEWAL_SHARE = 0.5;
/** The platform documents that a live runner is listed again about two seconds after an outage. */
const DEFAULT_GRACE_PERIOD_MS = 2_000;

/**
 * Directory of usable runners, fed from a list that can be temporarily unavailable. Entries that
 * expire during an outage are retained until the list has been available again for `gracePeriodMs`:
 * a live runner has registered itself again by then. A runner that is leaving never comes back in the
 * same boot, whatever the list says later.
 *
 * The start of a boot orders the boots of a runner, unless its clock was set back: what the list goes on
 * to show counts then.
 */
export class RunnerDirectory {
  readonly #clock: Clock;
  readonly #onEntry: (entry: RunnerEntry) => void;
  readonly #outages: ListOutages;
  readonly #renewalMs: number;
  readonly #entries = new Map<string, RunnerEntry>();
  readonly #retained = new Map<string, RunnerEntry>();
  readonly #departures = new Map<string, Departure>();
  readonly #doubtful = new Map<string, DoubtfulEntry>();
  /** By runner: the start of a boot that was followed by one with an earlier start. */
  readonly #endedBoots = new Map<string, number>();
  #byService = new Map<string, readonly RunnerEntry[]>();

  constructor({
    clock,
    heartbeatMs = DEFAULT_HEARTBEAT_MS,
    gracePeriodMs = DEFAULT_GRACE_PERIOD_MS,
    onEntry = () => undefined,
  }: RunnerDirectoryOptions) {
    this.#clock = clock;
    this.#onEntry = onEntry;
    this.#renewalMs = RENEWAL_SHARE * heartbeatMs;
    this.#outages = new ListOutages({ clock, heartbeatMs, gracePeriodMs });
  }

  /** Number of usable runners, including retained ones. */
  get size(): number {
    return this.#entries.size + this.#retained.size;
  }

  /** Records that the list cannot be read. */
  markUnavailable(): void {
    this.#outages.recordFailure();
  }

  /** Records that the list was read, by this node or by one that tells of its changes. */
  markAvailable(): void {
    this.#outages.recordRead();
    this.#dropRetained();
  }

  /** Time for which this node has read the list without an outage, in milliseconds; 0 when it cannot read it. */
  get readableMs(): number {
    return this.#outages.readableMs;
  }

  /** Records that another node has read the list without an outage for a time, up to now. */
  recordReadElsewhere(forMs: number): void {
    this.#outages.recordReadElsewhere(forMs);
    this.#dropRetained();
  }

  /**
   * Adds or replaces a runner. An entry that may have been written before what is known, because it is of
   * an earlier boot or of a runner that was removed, is used once the list shows that it is renewed. One
   * that names no boot, where others did, is never used. Returns whether the entry is used.
   */
  put(entry: RunnerEntry): boolean {
    if (this.#mayBeLate(entry) && !this.#isRenewed(entry)) return false;
    const newestBornMs = this.#newestBornMs(entry.id);
    if (entry.bornMs < newestBornMs) this.#endedBoots.set(entry.id, newestBornMs);
    else if (entry.bornMs > newestBornMs) this.#endedBoots.delete(entry.id);
    const isDraining = entry.isDraining || this.#departureOf(entry)?.isDraining === true;
    this.#entries.set(entry.id, { ...entry, isDraining });
    this.#retained.delete(entry.id);
    this.#doubtful.delete(entry.id);
    this.#byService.clear();
    if (isDraining) this.#recordDeparture(entry, { isDraining, isRemoved: false });
    else this.#departures.delete(entry.id);
    this.#onEntry(entry);
    return true;
  }

  /**
   * Records that a runner said elsewhere than in the list that it is leaving. Returns false when this is
   * known already or a newer boot of the runner is.
   */
  markLeaving(boot: RunnerBoot): boolean {
    if (this.#hasEnded(boot) || this.#departureOf(boot)?.isDraining) return false;
    const known = this.#entries.get(boot.id);
    if (this.#retained.delete(boot.id)) this.#byService.clear();
    // An entry of an earlier boot is not one of the runner that leaves.
    if (known) this.put({ ...known, bornMs: boot.bornMs, isDraining: true });
    else this.#recordDeparture(boot, { isDraining: true, isRemoved: true });
    return true;
  }

  /** Runners that are leaving, for nodes that may not know it: those that are listed, and recent ones. */
  get leaving(): readonly RunnerBoot[] {
    const since = this.#clock.monotonic() - DEPARTURE_REPORTED_MS;
    return [...this.#departures]
      .filter(([id, { isDraining, bornMs, at }]) => {
        return isDraining && (at > since || this.find(id)?.bornMs === bornMs);
      })
      .slice(-MAX_REPORTED_DEPARTURES)
      .map(([id, { bornMs }]) => ({ id, bornMs }));
  }

  /**
   * Removes a runner whose entry is no longer listed, or retains it after an outage. Returns whether it
   * is retained.
   */
  remove(id: string): boolean {
    this.#doubtful.delete(id);
    this.#endedBoots.delete(id);
    const entry = this.#entries.get(id);
    if (!entry) return false;
    this.#entries.delete(id);
    this.#byService.clear();
    const isRetained = this.#outages.isInGracePeriod && !entry.isDraining;
    if (isRetained) this.#retained.set(id, entry);
    else this.#recordDeparture(entry, { isDraining: entry.isDraining, isRemoved: true });
    return isRetained;
  }

  /** Stops using a runner whose entry cannot be read, until it is renewed. */
  reject(id: string): void {
    this.#doubtful.delete(id);
    const entry = this.find(id);
    if (!entry) return;
    this.#entries.delete(id);
    this.#retained.delete(id);
    this.#byService.clear();
    this.#recordDeparture(entry, { isDraining: entry.isDraining, isRemoved: false });
  }

  /** Replaces the whole list. */
  replaceAll(entries: readonly RunnerEntry[]): void {
    this.markAvailable();
    const ids = new Set(entries.map(({ id }) => id));
    for (const id of [...this.#entries.keys(), ...this.#doubtful.keys()])
      if (!ids.has(id)) this.remove(id);
    for (const entry of entries) this.put(entry);
  }

  /**
   * Replaces the whole list by one that was restored from an older copy. Runners that are not in it, or
   * with an earlier boot, are retained for `gracePeriodMs`; those that had been removed before are not
   * used until they are written again or stay listed for longer than a list keeps entries without
   * renewal.
   */
  restoreAll(entries: readonly RunnerEntry[]): void {
    const now = this.#clock.monotonic();
    this.#outages.recordRestore();
    const current = entries.filter(({ id, bornMs }) => bornMs >= this.#newestBornMs(id));
    const doubtful = current.filter((entry) => this.#departureOf(entry)?.isRemoved);
    this.replaceAll(current.filter((entry) => !doubtful.includes(entry)));
    for (const entry of doubtful) {
      this.#doubtful.set(entry.id, {
        entry,
        since: -Infinity,
        until: now + RESTORED_ENTRY_DOUBT_MS,
      });
    }
  }

  find(id: string): RunnerEntry | undefined {
    return this.#entries.get(id) ?? this.#retained.get(id);
  }

  /** All runners of `service`, including draining and retained ones. */
  ofService(service: string): readonly RunnerEntry[] {
    this.#dropRetained();
    this.#admitDoubtful();
    const cached = this.#byService.get(service);
    if (cached) return cached;
    const runners = [...this.#entries.values(), ...this.#retained.values()].filter(
      (entry) => entry.service === service,
    );
    this.#byService.set(service, runners);
    return runners;
  }

  /** All runners, including draining and retained ones. */
  all(): readonly RunnerEntry[] {
    this.#dropRetained();
    this.#admitDoubtful();
    return [...this.#entries.values(), ...this.#retained.values()];
  }

  /** The entry may have been written before what is known of its runner. */
  #mayBeLate(entry: RunnerEntry): boolean {
    if (this.#hasEnded(entry)) return true;
    const departure = this.#departureOf(entry);
    // Where runners name no boots, the entry may as well be the first one of the next boot.
    return entry.bornMs > 0 && departure?.isRemoved === true && !departure.isDraining;
  }

  /** A later boot of the runner is known, or one that followed with an earlier start. */
  #hasEnded({ id, bornMs }: RunnerBoot): boolean {
    return bornMs < this.#newestBornMs(id) || this.#endedBoots.get(id) === bornMs;
  }

  /** The list has shown a doubtful entry before, and nothing else of its runner since. */
  #isRenewed(entry: RunnerEntry): boolean {
    if (entry.bornMs === 0) return false;
    const now = this.#clock.monotonic();
    const known = this.#doubtful.get(entry.id);
    const isSameBoot = known?.entry.bornMs === entry.bornMs;
    const since = isSameBoot ? known.since : now;
    if (now - since >= this.#renewalMs) return true;
    this.#doubtful.set(entry.id, { ...(isSameBoot ? known : {}), entry, since });
    return false;
  }

  /** Start of the newest known boot of a runner; 0 when none is known. */
  #newestBornMs(id: string): number {
    return Math.max(this.find(id)?.bornMs ?? 0, this.#departures.get(id)?.bornMs ?? 0);
  }

  /** What is known of the end of an entry's boot. */
  #departureOf({ id, bornMs }: RunnerBoot): Departure | undefined {
    const departure = this.#departures.get(id);
    return departure?.bornMs === bornMs ? departure : undefined;
  }

  #recordDeparture({ id, bornMs }: RunnerBoot, change: Omit<Departure, 'bornMs' | 'at'>): void {
    const known = this.#departureOf({ id, bornMs });
    const at = known?.isDraining ? known.at : this.#clock.monotonic();
    this.#departures.delete(id);
    this.#departures.set(id, { bornMs, at, ...change });
    if (this.#departures.size <= MAX_DEPARTURES) return;
    const [oldest] = this.#departures.keys();
    if (oldest !== undefined) this.#departures.delete(oldest);
  }

  #admitDoubtful(): void {
    if (this.#doubtful.size === 0) return;
    const now = this.#clock.monotonic();
    for (const [id, { entry, until = Infinity }] of this.#doubtful) {
      if (now < until) continue;
      this.#doubtful.delete(id);
      // A list removes what nobody renews for so long.
      if (this.#departureOf(entry)?.isRemoved) this.#departures.delete(id);
      this.put(entry);
    }
  }

  #dropRetained(): void {
    if (this.#retained.size === 0 || this.#outages.isInGracePeriod) return;
    for (const entry of this.#retained.values()) {
      this.#recordDeparture(entry, { isDraining: false, isRemoved: true });
    }
    this.#retained.clear();
    this.#byService = new Map();
  }
}
