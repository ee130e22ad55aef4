import { LRUCache } from 'lru-cache';
import type { CacheEvent, LoadReport } from '@ragwortrudder/routing';

const BLOCK_TOKENS = 16;
const PREFILL_TOKENS_PER_MS = 10;
const PREFILL_TOKENS_LOST_PER_REQUEST = 0.2;
const DECODE_STEP_MS = 25;
const MAX_RUNNING = 32;

/** Request submitted to a simulated engine. */
export interface EngineJob {
  readonly id: string;
  readonly node: number;
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly newTokens: number;
  readonly answerTokens: number;
  readonly sentAt: number;
}

/** Event that a simulated engine reports to the node of a request. */
export interface EngineEvent {
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
  #remainingTokens = 0;
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

  /** Simulates one millisecond and returns the events that occurred. */
  step(now: number): readonly EngineEvent[] {
    const engineEvents: EngineEvent[] = [];
    const ended = this.#running.filter(({ endsAt }) => endsAt <= now);
    this.#running = this.#running.filter(({ endsAt }) => endsAt > now);
    for (const { job } of ended) engineEvents.push({ kind: 'done', job, cachedTokens: 0 });
    let budget = Math.max(
      1,
      PREFILL_TOKENS_PER_MS - PREFILL_TOKENS_LOST_PER_REQUEST * this.#running.length,
    );
    while (budget > 0) {
      this.#current ??= this.#start(engineEvents);
      if (!this.#current) break;
      const computed = Math.min(budget, this.#remainingTokens);
      this.#remainingTokens -= computed;
      budget -= computed;
      if (this.#remainingTokens > 0) break;
      const { job, cachedTokens } = this.#current;
      this.#current = undefined;
      this.#store(job.blocks);
      this.#running.push({ job, endsAt: now + job.answerTokens * DECODE_STEP_MS });
      engineEvents.push({ kind: 'first', job, cachedTokens });
    }
    return engineEvents;
  }

  #start(engineEvents: EngineEvent[]) {
    if (this.#running.length >= MAX_RUNNING) return undefined;
    const job = this.#waiting.shift();
    if (!job) return undefined;
    const firstMissing = job.blocks.findIndex((prefix) => !this.cache.has(prefix));
    const cachedTokens = (firstMissing < 0 ? job.blocks.length : firstMissing) * BLOCK_TOKENS;
    engineEvents.push({ kind: 'start', job, cachedTokens });
    this.#remainingTokens = Math.max(1, job.promptTokens - cachedTokens);
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
