import type { Clock } from '@ragwortrudder/core';
import type { EvacuationChange } from '../types/evacuation-change.ts';

interface ReadRecords {
  /** Domains with a valid record, oldest first. */
  readonly ordered: readonly string[];
  /** Domains whose record cannot be read; their state does not change. */
  readonly unreadable: readonly string[];
  /** The log was restored from an older copy since the records were last read. */
  readonly isRestored: boolean;
}

/** Maximum number of failure domains that are evacuated at the same time. */
const MAX_DOMAINS = 64;
/**
 * Time after a restore of the log in which the operator writes its records again, in milliseconds. The
 * runner list gets the same time to show that an entry is not renewed.
 */
const REWRITE_MS = 5_000;

/**
 * Failure domains that the operator has evacuated, according to the records of a log. A log that was
 * restored from an older copy may lack a record: the evacuation then stays in force until the log still
 * lacks the record after the time in which operators write their records again.
 */
export class EvacuatedDomains {
  readonly #clock: Clock;
  readonly #domains = new Set<string>();
  /** Domains whose record a restored log lacks, and the monotonic time from which this counts. */
  readonly #unconfirmed = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Called for each runner and request, so that it costs nothing while no domain is evacuated. */
  get isEmpty(): boolean {
    return this.#domains.size === 0;
  }

  get names(): readonly string[] {
    return [...this.#domains];
  }

  has(domain: string): boolean {
    return this.#domains.has(domain);
  }

  /** Begins an evacuation. Returns false, without effect, when too many domains are evacuated. */
  begin(domain: string): boolean {
    this.#unconfirmed.delete(domain);
    if (this.#domains.has(domain)) return true;
    if (this.#domains.size >= MAX_DOMAINS) return false;
    this.#domains.add(domain);
    return true;
  }

  /** Ends an evacuation; returns false when the domain is not evacuated. */
  end(domain: string): boolean {
    this.#unconfirmed.delete(domain);
    return this.#domains.delete(domain);
  }

  /** Applies all records of the log. */
  replaceAll({ ordered, unreadable, isRestored }: ReadRecords): EvacuationChange {
    const present = new Set([...ordered, ...unreadable]);
    const missing = this.names.filter((domain) => !present.has(domain));
    // A second read of a restored log does not shorten the time that the operator has.
    const unconfirmed = missing.filter((domain) => isRestored || this.#unconfirmed.has(domain));
    const ended = missing.filter((domain) => !unconfirmed.includes(domain));
    const now = this.#clock.monotonic();
    for (const domain of ended) this.end(domain);
    for (const domain of present) this.#unconfirmed.delete(domain);
    for (const domain of isRestored ? unconfirmed : []) {
      this.#unconfirmed.set(domain, now + REWRITE_MS);
    }
    const known = new Set(this.#domains);
    const excess = ordered.filter((domain) => !this.begin(domain));
    const begun = this.names.filter((domain) => !known.has(domain));
    return { begun, ended, unconfirmed, excess };
  }

  /** Records that the log was read to its end; returns the domains whose evacuation ends thereby. */
  confirm(): readonly string[] {
    if (this.#unconfirmed.size === 0) return [];
    const now = this.#clock.monotonic();
    const ended = [...this.#unconfirmed].filter(([, until]) => now >= until).map(([name]) => name);
    for (const domain of ended) this.end(domain);
    return ended;
  }
}
