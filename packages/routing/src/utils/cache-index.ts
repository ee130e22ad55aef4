import { LRUCache } from 'lru-cache';
import type { CacheEvent } from '../types/cache-event.ts';
import type { CacheIndexOptions } from '../types/cache-index-options.ts';
import type { CacheSnapshot } from '../types/cache-snapshot.ts';
import { BLOCK_TOKENS } from './block-tokens.ts';

const DEFAULT_MAX_HINTS = 8192;
const DEFAULT_MAX_SENT = 4096;
/**
 * Maximum delay of cache events. An eviction event that arrives within this time after the prefix
 * was sent may predate that request, so the entry from the own request is kept.
 */
const MAX_EVENT_LAG_MS = 5000;
const CONFIDENCE_GAIN = 0.2;
const MIN_CONFIDENCE = 0.05;

/**
 * Index of the prefixes expected in one runner's prefix cache: hints from its cache events, and the
 * prefixes that this node sent recently. A gap in the event sequence clears the hints until a
 * snapshot arrives. Confidence is a moving average of the fraction of the expected tokens that the
 * engine reports as reused.
 */
export class CacheIndex {
  readonly #hints: LRUCache<string, true>;
  readonly #sent: LRUCache<string, number>;
  #seq = 0;
  #synced = true;
  #confidence = 1;

  constructor(options: CacheIndexOptions = {}) {
    this.#hints = new LRUCache({ max: options.maxHints ?? DEFAULT_MAX_HINTS });
    this.#sent = new LRUCache({ max: options.maxSent ?? DEFAULT_MAX_SENT });
  }

  /** Sequence number of the last applied event; later events still have to be fetched. */
  get seq(): number {
    return this.#seq;
  }

  /** True after a gap in the events: the hints stay empty until {@link restore} is called. */
  get needsSnapshot(): boolean {
    return !this.#synced;
  }

  /** Fraction of the expected tokens that the engine recently reused, from 0 to 1. */
  get confidence(): number {
    return this.#confidence;
  }

  /** Applies cache events in order; returns false when a gap requires a snapshot. */
  apply(events: readonly CacheEvent[], now: number): boolean {
    for (const event of events) {
      if (!this.#synced) return false;
      if (event.seq <= this.#seq) continue;
      if (event.seq === this.#seq + 1) this.#applyEvent(event, now);
      else this.#invalidate();
    }
    return this.#synced;
  }

  /** Replaces all hints with a snapshot; a snapshot older than the applied events is ignored. */
  restore(snapshot: CacheSnapshot): void {
    if (this.#synced && snapshot.seq < this.#seq) return;
    this.#hints.clear();
    for (const prefix of snapshot.prefixes) this.#hints.set(prefix, true);
    this.#seq = snapshot.seq;
    this.#synced = true;
  }

  /** Clears the whole index, for example when the engine was restarted. */
  reset(): void {
    this.#hints.clear();
    this.#sent.clear();
    this.#seq = 0;
    this.#synced = true;
    this.#confidence = 1;
  }

  /** Records that a prompt with these blocks was sent to the runner. */
  recordSent(blocks: readonly string[], now: number): void {
    for (let i = blocks.length - 1; i >= 0; i -= 1) this.#sent.set(blocks[i] ?? '', now);
  }

  /**
   * Tokens of the longest known prefix, not weighted by confidence. Uses binary search: engines
   * evict the end of a chain before its start, so a known block implies the blocks before it.
   */
  knownTokens(blocks: readonly string[]): number {
    let low = 0;
    let high = blocks.length;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.#isKnown(blocks[middle - 1])) low = middle;
      else high = middle - 1;
    }
    return low * BLOCK_TOKENS;
  }

  /** Tokens that the runner is expected to reuse, weighted by confidence. */
  cachedTokens(blocks: readonly string[]): number {
    return this.knownTokens(blocks) * this.#confidence;
  }

  /** Updates the confidence from the tokens known when a request was sent and those reused. */
  recordReuse(knownTokens: number, cachedTokens: number): void {
    if (knownTokens <= 0) return;
    const ratio = Math.min(1, cachedTokens / knownTokens);
    const updated = this.#confidence + CONFIDENCE_GAIN * (ratio - this.#confidence);
    this.#confidence = Math.max(MIN_CONFIDENCE, updated);
  }

  #isKnown(prefix: string | undefined): boolean {
    if (prefix === undefined) return false;
    return this.#hints.has(prefix) || this.#sent.has(prefix);
  }

  #applyEvent(event: CacheEvent, now: number): void {
    this.#seq = event.seq;
    if (event.kind === 'stored') {
      this.#hints.set(event.prefix, true);
      return;
    }
    this.#hints.delete(event.prefix);
    const sentAt = this.#sent.peek(event.prefix);
    if (sentAt !== undefined && now - sentAt > MAX_EVENT_LAG_MS) this.#sent.delete(event.prefix);
  }

  #invalidate(): void {
    this.#hints.clear();
    this.#synced = false;
  }
}
