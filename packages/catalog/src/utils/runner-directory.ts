import type { Clock } from '@ragwortrudder/core';
import type { RunnerEntry } from '../types/runner-entry.ts';

interface RunnerDirectoryOptions {
  readonly clock: Clock;
  /**
   * Time after an outage of the list during which entries that expired meanwhile are retained, in
   * milliseconds.
   * @default 2000
   */
  readonly gracePeriodMs?: number;
}

/** The platform documents that a live runner is listed again about two seconds after an outage. */
const DEFAULT_GRACE_PERIOD_MS = 2_000;

/**
 * Directory of usable runners, fed from a list that can be temporarily unavailable. Entries that
 * expire during an outage are retained until the list has been available again for `gracePeriodMs`:
 * a live runner has registered itself again by then.
 */
export class RunnerDirectory {
  readonly #clock: Clock;
  readonly #gracePeriodMs: number;
  readonly #entries = new Map<string, RunnerEntry>();
  readonly #retained = new Map<string, RunnerEntry>();
  #byService = new Map<string, readonly RunnerEntry[]>();
  #isUnavailable = false;
  #graceEndsAt = 0;

  constructor({ clock, gracePeriodMs = DEFAULT_GRACE_PERIOD_MS }: RunnerDirectoryOptions) {
    this.#clock = clock;
    this.#gracePeriodMs = gracePeriodMs;
  }

  /** Number of usable runners, including retained ones. */
  get size(): number {
    return this.#entries.size + this.#retained.size;
  }

  /** Records that the list cannot be read. */
  markUnavailable(): void {
    this.#isUnavailable = true;
  }

  /** Records that the list was read. */
  markAvailable(): void {
    if (this.#isUnavailable) this.#graceEndsAt = this.#clock.monotonic() + this.#gracePeriodMs;
    this.#isUnavailable = false;
    this.#dropRetained();
  }

  /** Adds or replaces a runner. */
  put(entry: RunnerEntry): void {
    this.#entries.set(entry.id, entry);
    this.#retained.delete(entry.id);
    this.#byService.clear();
  }

  /** Removes a runner whose entry is no longer listed, or retains it during an outage. */
  remove(id: string): void {
    const entry = this.#entries.get(id);
    if (!entry) return;
    this.#entries.delete(id);
    this.#byService.clear();
    if (this.#isInGracePeriod() && !entry.isDraining) this.#retained.set(id, entry);
  }

  /** Replaces the whole list. */
  replaceAll(entries: readonly RunnerEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id));
    for (const id of [...this.#entries.keys()]) if (!ids.has(id)) this.remove(id);
    for (const entry of entries) this.put(entry);
  }

  find(id: string): RunnerEntry | undefined {
    return this.#entries.get(id) ?? this.#retained.get(id);
  }

  /** All runners of `service`, including draining and retained ones. */
  ofService(service: string): readonly RunnerEntry[] {
    this.#dropRetained();
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
    return [...this.#entries.values(), ...this.#retained.values()];
  }

  #isInGracePeriod(): boolean {
    return this.#isUnavailable || this.#clock.monotonic() < this.#graceEndsAt;
  }

  #dropRetained(): void {
    if (this.#retained.size === 0 || this.#isInGracePeriod()) return;
    this.#retained.clear();
    this.#byService = new Map();
  }
}
