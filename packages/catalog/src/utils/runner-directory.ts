import type { Clock } from '@ragwortrudder/core';
import type { RunnerEntry } from '../types/runner-entry.ts';

interface RunnerDirectoryOptions {
  readonly clock: Clock;
  /**
   * Time after the end of an outage of the list within which entries that lapsed meanwhile may
   * come back, in milliseconds.
   * @default 2000
   */
  readonly returnMs?: number;
}

/** The platform states that a live runner is listed again about two seconds after an outage. */
const RETURN_MS = 2_000;

/**
 * Runners that may be used, from a list that can be away. Entries that lapse during an outage are
 * kept until the list has been back for `returnMs`: a live runner enters itself again by then.
 */
export class RunnerDirectory {
  readonly #clock: Clock;
  readonly #returnMs: number;
  readonly #entries = new Map<string, RunnerEntry>();
  readonly #lapsed = new Map<string, RunnerEntry>();
  #byService = new Map<string, readonly RunnerEntry[]>();
  #isAway = false;
  #settledAt = 0;

  constructor({ clock, returnMs = RETURN_MS }: RunnerDirectoryOptions) {
    this.#clock = clock;
    this.#returnMs = returnMs;
  }

  /** Number of runners that may be used. */
  get size(): number {
    return this.#entries.size + this.#lapsed.size;
  }

  /** Records that the list cannot be read. */
  markAway(): void {
    this.#isAway = true;
  }

  /** Records that the list was read. */
  markRead(): void {
    if (this.#isAway) this.#settledAt = this.#clock.monotonic() + this.#returnMs;
    this.#isAway = false;
    this.#dropLapsed();
  }

  /** Enters or replaces a runner. */
  put(entry: RunnerEntry): void {
    this.#entries.set(entry.id, entry);
    this.#lapsed.delete(entry.id);
    this.#byService.clear();
  }

  /** Removes a runner whose entry is gone. */
  remove(id: string): void {
    const entry = this.#entries.get(id);
    if (!entry) return;
    this.#entries.delete(id);
    this.#byService.clear();
    if (this.#isSettling() && !entry.isDraining) this.#lapsed.set(id, entry);
  }

  /** Replaces the whole list. */
  replaceAll(entries: readonly RunnerEntry[]): void {
    const ids = new Set(entries.map(({ id }) => id));
    for (const id of [...this.#entries.keys()]) if (!ids.has(id)) this.remove(id);
    for (const entry of entries) this.put(entry);
  }

  find(id: string): RunnerEntry | undefined {
    return this.#entries.get(id) ?? this.#lapsed.get(id);
  }

  /** All runners of `service`, draining ones included. */
  ofService(service: string): readonly RunnerEntry[] {
    this.#dropLapsed();
    const known = this.#byService.get(service);
    if (known) return known;
    const runners = [...this.#entries.values(), ...this.#lapsed.values()].filter(
      (entry) => entry.service === service,
    );
    this.#byService.set(service, runners);
    return runners;
  }

  /** All runners. */
  all(): readonly RunnerEntry[] {
    this.#dropLapsed();
    return [...this.#entries.values(), ...this.#lapsed.values()];
  }

  #isSettling(): boolean {
    return this.#isAway || this.#clock.monotonic() < this.#settledAt;
  }

  #dropLapsed(): void {
    if (this.#lapsed.size === 0 || this.#isSettling()) return;
    this.#lapsed.clear();
    this.#byService = new Map();
  }
}
