/** Rate until enough was measured, in milliseconds per token; published engines read 92 to 140 tokens per ms, and attention adds to long prompts. */
const DEFAULT_MS_PER_TOKEN = 0.014;
/** Prompts from this size on are measured: shorter ones tell more of the fixed cost of a first token. */
const MIN_TOKENS = 5_000;
/** Fixed cost of a first token beside the reading of the prompt, in milliseconds: network, queue and one step. */
const FIXED_MS = 60;
const MIN_SAMPLES = 8;
const MAX_SAMPLES = 41;

/** Time that a service's engines take to read a prompt token, from first tokens at runners that had no other prompt to read. */
export class PrefillRate {
  #samples: readonly number[] = [];
  #msPerToken = DEFAULT_MS_PER_TOKEN;

  /** Median of what was measured, in milliseconds per token. */
  get msPerToken(): number {
    return this.#msPerToken;
  }

  /** Takes in the time to the first token of a prompt of which `tokens` had to be read. */
  add(tokens: number, firstTokenMs: number): void {
    if (tokens < MIN_TOKENS) return;
    const sample = Math.max(0, firstTokenMs - FIXED_MS) / tokens;
    this.#samples = [...this.#samples, sample].slice(-MAX_SAMPLES);
    if (this.#samples.length < MIN_SAMPLES) return;
    const sorted = this.#samples.toSorted((a, b) => a - b);
    this.#msPerToken = sorted[Math.floor(sorted.length / 2)] ?? DEFAULT_MS_PER_TOKEN;
  }
}
