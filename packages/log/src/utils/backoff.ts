import type { Random } from '@ragwortrudder/core';
import type { BackoffOptions } from '../types/backoff-options.ts';

const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 5_000;

/** Exponential backoff; jitter spreads each delay between half of the step and the full step. */
export class Backoff {
  readonly #random: Random;
  readonly #firstMs: number;
  readonly #maxMs: number;
  #stepMs: number;

  constructor(random: Random, options: BackoffOptions = {}) {
    this.#random = random;
    this.#firstMs = options.firstMs ?? FIRST_DELAY_MS;
    this.#maxMs = options.maxMs ?? MAX_DELAY_MS;
    this.#stepMs = this.#firstMs;
  }

  /** Returns the next delay in milliseconds. */
  next(): number {
    const delay = this.#stepMs * (0.5 + this.#random.next() / 2);
    this.#stepMs = Math.min(this.#stepMs * 2, this.#maxMs);
    return delay;
  }

  /** Restarts the sequence at the first delay. */
  reset(): void {
    this.#stepMs = this.#firstMs;
  }
}
