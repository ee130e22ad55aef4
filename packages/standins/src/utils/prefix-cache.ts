import { prefixHashes } from './prefix-hashes.ts';

const BLOCK_TOKENS = 16;

type Listener = (kind: 'stored' | 'evicted', prefix: string) => void;

/** Bounded cache of prefixes in blocks of 16 tokens that evicts the least recently used block. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #listener: Listener;
  readonly #blocks = new Set<string>();

  constructor(capacity: number, listener: Listener) {
    this.#capacity = capacity;
    this.#listener = listener;
  }

  get prefixes(): readonly string[] {
    return [...this.#blocks];
  }

  /** Returns the number of leading tokens of `words` that are cached, and marks their blocks as used. */
  match(words: readonly string[]): number {
    const hashes = prefixHashes(words);
    const missing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    const cachedHashes = missing === -1 ? hashes : hashes.slice(0, missing);
    this.#touch(cachedHashes);
    return cachedHashes.length * BLOCK_TOKENS;
  }

  /** Stores the full blocks of `words`, up to the capacity. */
  store(words: readonly string[]): void {
    const hashes = prefixHashes(words).slice(0, this.#capacity);
    const added = hashes.filter((hash) => !this.#blocks.has(hash));
    this.#touch(hashes);
    for (const hash of added) this.#listener('stored', hash);
    this.#evict();
  }

  /** Marks blocks as used, the first one last, so that a chain of blocks is evicted from its end. */
  #touch(hashes: readonly string[]): void {
    for (const hash of hashes.toReversed()) {
      this.#blocks.delete(hash);
      this.#blocks.add(hash);
    }
  }

  #evict(): void {
    for (const hash of this.#blocks) {
      if (this.#blocks.size <= this.#capacity) return;
      this.#blocks.delete(hash);
      this.#listener('evicted', hash);
    }
  }
}
