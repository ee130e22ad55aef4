/**
 * Prefill time in milliseconds per token, used until enough samples are available. Published engine
 * benchmarks show 92 to 140 tokens per ms; attention adds to the time of long prompts.
 */
const DEFAULT_MS_PER_TOKEN = 0.014;
/**
 * Minimum prompt size of a sample: shorter prompts mostly measure the fixed cost of a first token.
 */
const MIN_PROMPT_TOKENS = 5_000;
/**
 * Fixed cost of a first token in addition to prefill, in milliseconds: network, queue and one
 * decoding step.
 */
const FIXED_COST_MS = 60;
const MIN_SAMPLES = 8;
const MAX_SAMPLES = 41;

/**
 * Estimates the prefill time per prompt token of a service's engines from the times to the first
 * token at runners that had no other prompt to process.
 */
export class PrefillRate {
  #samples: readonly number[] = [];
  #msPerToken = DEFAULT_MS_PER_TOKEN;

  /** Median of the samples, in milliseconds per token; a default until there are enough samples. */
  get msPerToken(): number {
    return this.#msPerToken;
  }

  /** Adds the time to the first token of a prompt of which `tokens` tokens had to be computed. */
  add(tokens: number, firstTokenMs: number): void {
    if (tokens < MIN_PROMPT_TOKENS) return;
    const sample = Math.max(0, firstTokenMs - FIXED_COST_MS) / tokens;
    this.#samples = [...this.#samples, sample].slice(-MAX_SAMPLES);
    if (this.#samples.length < MIN_SAMPLES) return;
    const sorted = this.#samples.toSorted((a, b) => a - b);
    this.#msPerToken = sorted[Math.floor(sorted.length / 2)] ?? DEFAULT_MS_PER_TOKEN;
  }
}
