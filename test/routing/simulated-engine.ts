import { LRUCache } from 'lru-cache';
import type { CacheEvent, LoadReport } from '@ragwortrudder/routing';

const BLOCK = 16;
const TOKENS_PER_MS = 10;
const DECODE_COST_PER_MS = 0.2;
const TOKEN_MS = 25;
const MAX_RUNNING = 32;

/** A prompt at a simulated engine. */
export interface EngineJob {
  readonly id: string;
  readonly node: number;
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly newTokens: number;
  readonly answerTokens: number;
  readonly sentAt: number;
}

/** Something that a simulated engine told its node. */
export interface EngineNews {
  readonly kind: 'start' | 'first' | 'done';
  readonly job: EngineJob;
  readonly cachedTokens: number;
}

/** Engine with one prefill queue, slowed by decoding, and a bounded prefix cache. */
export class SimulatedEngine {
  readonly events: CacheEvent[] = [];
  readonly cache: LRUCache<string, true>;
  #waiting: EngineJob[] = [];
  #current: { readonly job: EngineJob; readonly cachedTokens: number } | undefined;
  #left = 0;
  #running: { readonly job: EngineJob; readonly endsAt: number }[] = [];

  constructor(maxBlocks: number) {
    this.cache = new LRUCache<string, true>({
      max: maxBlocks,
      dispose: (_, prefix, reason) => {
        if (reason === 'evict') this.#emit('evicted', prefix);
      },
    });
  }

  get load(): LoadReport {
    const running = this.#running.length + (this.#current ? 1 : 0);
    return { running, waiting: this.#waiting.length, prefillRate: 10_000, leaving: false };
  }

  add(job: EngineJob): void {
    this.#waiting.push(job);
  }

  /** Works for one millisecond. */
  step(now: number): readonly EngineNews[] {
    const news: EngineNews[] = [];
    const ended = this.#running.filter(({ endsAt }) => endsAt <= now);
    this.#running = this.#running.filter(({ endsAt }) => endsAt > now);
    for (const { job } of ended) news.push({ kind: 'done', job, cachedTokens: 0 });
    let budget = Math.max(1, TOKENS_PER_MS - DECODE_COST_PER_MS * this.#running.length);
    while (budget > 0) {
      this.#current ??= this.#start(news);
      if (!this.#current) break;
      const used = Math.min(budget, this.#left);
      this.#left -= used;
      budget -= used;
      if (this.#left > 0) break;
      const { job, cachedTokens } = this.#current;
      this.#current = undefined;
      this.#store(job.blocks);
      this.#running.push({ job, endsAt: now + job.answerTokens * TOKEN_MS });
      news.push({ kind: 'first', job, cachedTokens });
    }
    return news;
  }

  #start(news: EngineNews[]) {
    if (this.#running.length >= MAX_RUNNING) return undefined;
    const job = this.#waiting.shift();
    if (!job) return undefined;
    const missing = job.blocks.findIndex((prefix) => !this.cache.has(prefix));
    const cachedTokens = (missing < 0 ? job.blocks.length : missing) * BLOCK;
    news.push({ kind: 'start', job, cachedTokens });
    this.#left = Math.max(1, job.promptTokens - cachedTokens);
    return { job, cachedTokens };
  }

  #store(blocks: readonly string[]): void {
    for (const prefix of blocks.toReversed()) {
      if (!this.cache.get(prefix)) this.#emit('stored', prefix);
      this.cache.set(prefix, true);
    }
  }

  #emit(kind: CacheEvent['kind'], prefix: string): void {
    this.events.push({ seq: this.events.length + 1, kind, prefix });
  }
}
