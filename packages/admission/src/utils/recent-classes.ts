import type { Clock } from '@ragwortrudder/core';
import type { OrderedRequest } from '../types/ordered-request.ts';
import type { ServiceClass } from '../types/service-class.ts';

/** Class of which requests have arrived recently. */
interface RecentClass extends ServiceClass {
  /** Mean prompt tokens that no runner has cached. */
  readonly prefillTokens: number;
  readonly seenAt: number;
}

/**
 * Time for which a class counts after its last request at this node, in milliseconds. Nodes get few
 * requests of a rare class, and a class without requests must not keep others from the runners.
 */
const RECENT_MS = 30_000;
const GAIN = 0.1;

/** Configured classes of a service, and which of them have had requests at this node lately. */
export class RecentClasses {
  readonly #clock: Clock;
  #configured: readonly ServiceClass[] = [];
  #recent = new Map<string, RecentClass>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** All configured classes have one priority. */
  get isUniform(): boolean {
    return new Set(this.#configured.map(({ priority }) => priority)).size < 2;
  }

  /** Smallest target of the configured classes, in milliseconds. */
  get smallestTargetMs(): number {
    return Math.min(
      ...this.#configured.map(({ latencyTargetMs }) => latencyTargetMs).filter((ms) => ms > 0),
    );
  }

  /** Sets the classes that the configuration allows. */
  configure(classes: readonly ServiceClass[]): void {
    this.#configured = classes;
    const keys = new Set(classes.map((known) => this.#keyOf(known)));
    for (const key of this.#recent.keys()) if (!keys.has(key)) this.#recent.delete(key);
  }

  /** Records the arrival of a request; one of a class that is not configured is ignored. */
  record({ priority, latencyTargetMs, prefillTokens }: OrderedRequest): void {
    const key = this.#keyOf({ priority, latencyTargetMs });
    const known = this.#recent.get(key);
    if (!known && !this.#configured.some((configured) => this.#keyOf(configured) === key)) return;
    const mean = known
      ? known.prefillTokens + GAIN * (prefillTokens - known.prefillTokens)
      : prefillTokens;
    const seenAt = this.#clock.monotonic();
    this.#recent.set(key, { priority, latencyTargetMs, prefillTokens: mean, seenAt });
  }

  /** Classes with a target that are more urgent than a priority and have had requests lately. */
  moreUrgentThan(priority: number): readonly RecentClass[] {
    const since = this.#clock.monotonic() - RECENT_MS;
    return [...this.#recent.values()].filter(
      (known) => known.priority < priority && known.latencyTargetMs > 0 && known.seenAt >= since,
    );
  }

  /** A class more urgent than a priority is configured. */
  hasMoreUrgentThan(priority: number): boolean {
    return this.#configured.some((known) => known.priority < priority);
  }

  #keyOf({ priority, latencyTargetMs }: ServiceClass): string {
    return `${priority} ${latencyTargetMs}`;
  }
}
