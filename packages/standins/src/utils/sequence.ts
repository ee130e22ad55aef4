import { createHash } from 'node:crypto';
import { splitWords } from './split-words.ts';

const HASH_DIGITS = 16;

interface SequenceOptions {
  readonly runner: string;
  readonly requestId: string;
  readonly prompt: string;
  readonly generated: readonly string[];
  readonly maxTokens: number;
  readonly priority: number;
}

/** One generation request in a batch. */
export class Sequence {
  readonly requestId: string;
  readonly prompt: string;
  readonly priority: number;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** Number of tokens of the answer that were passed in with the request. */
  readonly resumedTokens: number;
  /** Tokens of the prompt followed by the tokens of the answer so far. */
  readonly words: string[];
  /** Number of leading tokens whose KV cache is present. */
  computedTokens = 0;
  /** Number of tokens found in a cache when the sequence was admitted. */
  cachedTokens = 0;
  readonly #promptHash: string;
  readonly #runner: string;

  constructor(options: SequenceOptions) {
    this.requestId = options.requestId;
    this.prompt = options.prompt;
    this.priority = options.priority;
    this.maxTokens = options.maxTokens;
    const promptWords = splitWords(options.prompt);
    this.promptTokens = promptWords.length;
    this.resumedTokens = options.generated.length;
    this.words = [...promptWords, ...options.generated];
    this.#promptHash = createHash('sha256')
      .update(options.prompt)
      .digest('hex')
      .slice(0, HASH_DIGITS);
    this.#runner = options.runner;
  }

  /** Number of tokens of the answer so far. */
  get answerTokens(): number {
    return this.words.length - this.promptTokens;
  }

  get finished(): boolean {
    return this.answerTokens >= this.maxTokens;
  }

  /** Number of tokens whose KV cache has not been computed yet. */
  get pendingTokens(): number {
    return this.words.length - this.computedTokens;
  }

  /** Maximum KV memory that the sequence can need, in tokens. */
  get maxKvTokens(): number {
    return this.promptTokens + Math.max(this.maxTokens, this.resumedTokens);
  }

  /** Generates the next token and returns its index and text. */
  generateToken(): { readonly index: number; readonly text: string } {
    const index = this.answerTokens;
    const text = `${this.#promptHash}.${index}.${this.#runner}`;
    this.words.push(text);
    return { index, text };
  }
}
