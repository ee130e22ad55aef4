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

/** Generation of one answer in a batch. */
export class Sequence {
  readonly requestId: string;
  readonly prompt: string;
  readonly priority: number;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** Tokens of the answer that came with the request. */
  readonly resumedTokens: number;
  /** Tokens of the prompt and of the answer so far. */
  readonly words: string[];
  /** Tokens whose KV cache is present. */
  computed = 0;
  /** Tokens found in a cache when the sequence started to run. */
  cached = 0;
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

  /** Tokens of the answer so far. */
  get answered(): number {
    return this.words.length - this.promptTokens;
  }

  get finished(): boolean {
    return this.answered >= this.maxTokens;
  }

  /** Tokens still to be computed in prefill. */
  get toPrefill(): number {
    return this.words.length - this.computed;
  }

  /** Tokens of KV memory that the sequence can come to need. */
  get kvNeed(): number {
    return this.promptTokens + Math.max(this.maxTokens, this.resumedTokens);
  }

  /** Appends the next token and returns its index and text. */
  generate(): { readonly index: number; readonly text: string } {
    const index = this.answered;
    const text = `${this.#promptHash}.${index}.${this.#runner}`;
    this.words.push(text);
    return { index, text };
  }
}
