import type { BatchOptions } from '../types/batch-options.ts';
import type { Sequence } from './sequence.ts';

interface Prefill {
  readonly sequence: Sequence;
  readonly tokens: number;
}
interface Step {
  readonly prefills: readonly Prefill[];
  readonly decodes: readonly Sequence[];
  readonly durationMs: number;
}

const MS_PER_SECOND = 1000;

/** Continuous batching scheduler: plans steps in which prefill and decode share a token budget. */
export class BatchScheduler {
  readonly tokenBudget: number;
  readonly kvCapacity: number;
  readonly #maxRunning: number;
  readonly #stepMs: number;
  readonly #prefillTokenMs: number;
  readonly #decodeTokenMs: number;
  #running: readonly Sequence[] = [];
  #waiting: readonly Sequence[] = [];

  constructor(options: BatchOptions) {
    this.tokenBudget = options.tokenBudget ?? 512;
    this.kvCapacity = options.kvCapacity ?? 65_536;
    this.#maxRunning = options.maxRunning ?? 32;
    this.#stepMs = options.stepMs ?? 8;
    this.#prefillTokenMs = options.prefillTokenMs ?? 0.05;
    this.#decodeTokenMs = options.decodeTokenMs ?? 0.3;
  }

  get running(): readonly Sequence[] {
    return this.#running;
  }

  get waiting(): readonly Sequence[] {
    return this.#waiting;
  }

  /** Tokens of KV memory in use by running sequences. */
  get kvUsed(): number {
    return this.#running.reduce((sum, sequence) => sum + sequence.words.length, 0);
  }

  /** Prefill throughput in tokens per second if steps do nothing but prefill. */
  get prefillRate(): number {
    const stepMs = this.#stepMs + this.tokenBudget * this.#prefillTokenMs;
    return (this.tokenBudget * MS_PER_SECOND) / stepMs;
  }

  /** Queues a sequence by descending priority; equal priorities keep their order of arrival. */
  add(sequence: Sequence): void {
    const before = this.#waiting.filter((other) => other.priority >= sequence.priority);
    const after = this.#waiting.filter((other) => other.priority < sequence.priority);
    this.#waiting = [...before, sequence, ...after];
  }

  remove(sequence: Sequence): void {
    this.#running = this.#running.filter((other) => other !== sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
  }

  /** Admits waiting sequences, in order, as long as they fit into the batch, and returns them. */
  admit(): readonly Sequence[] {
    const admitted: Sequence[] = [];
    let reserved = this.#running.reduce((sum, sequence) => sum + sequence.maxKvTokens, 0);
    for (const sequence of this.#waiting) {
      const hasSlot = this.#running.length + admitted.length < this.#maxRunning;
      const batchEmpty = this.#running.length + admitted.length === 0;
      if (!hasSlot || (!batchEmpty && reserved + sequence.maxKvTokens > this.kvCapacity)) break;
      reserved += sequence.maxKvTokens;
      admitted.push(sequence);
    }
    this.#waiting = this.#waiting.slice(admitted.length);
    this.#running = [...this.#running, ...admitted];
    return admitted;
  }

  /** Plans the next step for the running sequences that `isActive` selects. */
  plan(isActive: (sequence: Sequence) => boolean = () => true): Step {
    const active = this.#running.filter(isActive);
    const decodes = active.filter((sequence) => sequence.pendingTokens <= 1);
    let budget = Math.max(0, this.tokenBudget - decodes.length);
    const prefills: Prefill[] = [];
    const byPriority = active
      .filter((sequence) => sequence.pendingTokens > 1)
      .sort((a, b) => b.priority - a.priority);
    for (const sequence of byPriority) {
      const tokens = Math.min(budget, sequence.pendingTokens);
      if (tokens === 0) break;
      prefills.push({ sequence, tokens });
      budget -= tokens;
    }
    const prefillTokens = prefills.reduce((sum, prefill) => sum + prefill.tokens, 0);
    const durationMs =
      this.#stepMs + prefillTokens * this.#prefillTokenMs + decodes.length * this.#decodeTokenMs;
    return { prefills, decodes, durationMs };
  }
}
