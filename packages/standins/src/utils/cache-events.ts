import type { Clock, Random } from '@ragwortrudder/core';

interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}
interface Entry extends CacheEvent {
  readonly at: number;
  readonly lost: boolean;
}
interface CacheEventsOptions {
  readonly delayMs: number;
  readonly lossRate: number;
  readonly clock: Clock;
  readonly random: Random;
}
interface Page {
  readonly events: readonly CacheEvent[];
  readonly next: number;
}

const MAX_EVENTS = 10_000;

/** Event log of a prefix cache that publishes events with a delay and loses some of them. */
export class CacheEvents {
  readonly #options: CacheEventsOptions;
  readonly #entries: Entry[] = [];
  #seq = 0;

  constructor(options: CacheEventsOptions) {
    this.#options = options;
  }

  /** Sequence number of the newest event, published or not. */
  get seq(): number {
    return this.#seq;
  }

  record(kind: 'stored' | 'evicted', prefix: string): void {
    const { clock, random, lossRate } = this.#options;
    this.#seq += 1;
    const lost = random.next() < lossRate;
    this.#entries.push({ seq: this.#seq, kind, prefix, at: clock.monotonic(), lost });
    if (this.#entries.length >= 2 * MAX_EVENTS) this.#entries.splice(0, MAX_EVENTS);
  }

  /** Returns the published events after sequence number `after`; `next` also counts lost ones. */
  read(after: number): Page {
    const visibleUntil = this.#options.clock.monotonic() - this.#options.delayMs;
    const firstSeq = this.#entries[0]?.seq ?? 0;
    const published = this.#entries
      .slice(Math.max(0, after + 1 - firstSeq))
      .filter((entry) => entry.at <= visibleUntil);
    const events = published
      .filter((entry) => !entry.lost)
      .map(({ seq, kind, prefix }) => ({ seq, kind, prefix }));
    return { events, next: published.at(-1)?.seq ?? after };
  }
}
