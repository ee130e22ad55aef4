import { LRUCache } from 'lru-cache';
import type { CacheEvent } from '../types/cache-event.ts';
import type { CacheIndexOptions } from '../types/cache-index-options.ts';
import type { CacheSnapshot } from '../types/cache-snapshot.ts';
import { BLOCK_TOKENS } from './block-tokens.ts';

const DEFAULT_MAX_HINTS = 8192;
const DEFAULT_MAX_SENT = 4096;
/** An eviction event may be this much older than a prefix that was sent again. */
const EVENT_LAG_MS = 5000;
const TRUST_GAIN = 0.2;
const MIN_TRUST = 0.05;

/**
 * What is believed to be in one runner's prefix cache: hints from its cache events, and what this
 * node sent recently. Hints are dropped at a gap of the event sequence until a snapshot arrives.
 * Trust follows the part of the expected tokens that the engine reports as reused.
 */
export class CacheIndex {
  readonly #hints: LRUCache<string, true>;
  readonly #sent: LRUCache<string, number>;
  #seq = 0;
  #synced = true;
  #trust = 1;

  constructor(options: CacheIndexOptions = {}) {
    this.#hints = new LRUCache({ max: options.maxHints ?? DEFAULT_MAX_HINTS });
    this.#sent = new LRUCache({ max: options.maxSent ?? DEFAULT_MAX_SENT });
  }

  /** Sequence number after which events are to be fetched. */
  get seq(): number {
    return this.#seq;
  }

  /** True after a gap: hints are empty until {@link restore} is called. */
  get needsSnapshot(): boolean {
    return !this.#synced;
  }

  /** Part of the expected tokens that the engine lately reused, from 0 to 1. */
  get trust(): number {
    return this.#trust;
  }

  /** Applies cache events in order; returns false when a gap made a snapshot necessary. */
  apply(events: readonly CacheEvent[], now: number): boolean {
    for (const event of events) {
      if (!this.#synced) return false;
      if (event.seq <= this.#seq) continue;
      if (event.seq === this.#seq + 1) this.#applyOne(event, now);
      else this.#drop();
    }
    return this.#synced;
  }

  /** Replaces all hints by a snapshot; one older than the events already applied is ignored. */
  restore(snapshot: CacheSnapshot): void {
    if (this.#synced && snapshot.seq < this.#seq) return;
    this.#hints.clear();
    for (const prefix of snapshot.prefixes) this.#hints.set(prefix, true);
    this.#seq = snapshot.seq;
    this.#synced = true;
  }

  /** Forgets everything, for example when the engine was restarted. */
  reset(): void {
    this.#hints.clear();
    this.#sent.clear();
    this.#seq = 0;
    this.#synced = true;
    this.#trust = 1;
  }

  /** Remembers that a prompt with these blocks was sent to the runner. */
  remember(blocks: readonly string[], now: number): void {
    for (let i = blocks.length - 1; i >= 0; i -= 1) this.#sent.set(blocks[i] ?? '', now);
  }

  /**
   * Tokens of the longest known prefix, not weighted by trust. A search by halves: engines evict
   * the end of a chain before its start, so a known block implies the blocks before it.
   */
  knownTokens(blocks: readonly string[]): number {
    let low = 0;
    let high = blocks.length;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.#knows(blocks[middle - 1])) low = middle;
      else high = middle - 1;
    }
    return low * BLOCK_TOKENS;
  }

  /** Tokens that the runner is expected to reuse. */
  cachedTokens(blocks: readonly string[]): number {
    return this.knownTokens(blocks) * this.#trust;
  }

  /** Compares the tokens known when a request was sent with those that the engine reused. */
  confirm(knownTokens: number, cachedTokens: number): void {
    if (knownTokens <= 0) return;
    const ratio = Math.min(1, cachedTokens / knownTokens);
    const moved = this.#trust + TRUST_GAIN * (ratio - this.#trust);
    this.#trust = Math.max(MIN_TRUST, moved);
  }

  #knows(prefix: string | undefined): boolean {
    if (prefix === undefined) return false;
    return this.#hints.has(prefix) || this.#sent.has(prefix);
  }

  #applyOne(event: CacheEvent, now: number): void {
    this.#seq = event.seq;
    if (event.kind === 'stored') {
      this.#hints.set(event.prefix, true);
      return;
    }
    this.#hints.delete(event.prefix);
    const sentAt = this.#sent.peek(event.prefix);
    if (sentAt !== undefined && now - sentAt > EVENT_LAG_MS) this.#sent.delete(event.prefix);
  }

  #drop(): void {
    this.#hints.clear();
    this.#synced = false;
  }
}
